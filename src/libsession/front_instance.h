#pragma once

#include "catkinlock/front_settings.h"
#include "catkinlock/session_platform.h"
#include <memory>

namespace catkinlock {

/// An instance that serves sessions.
class FrontInstance {
public:
    FrontInstance(FrontSettings, MakeSessionPlatform);
    ~FrontInstance();

    /// Serves until a signal ends it. Returns the process's exit status.
    int run();

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace catkinlock
