#pragma once

#include "catkinlock/front_settings.h"
#include "catkinlock/session_platform.h"
#include <functional>
#include <memory>
#include <optional>

namespace catkinlock {

/// An instance that serves sessions.
class FrontInstance {
public:
    /// `reread` reads the settings again; nothing if they are faulty.
    FrontInstance(FrontSettings, MakeSessionPlatform, std::function<std::optional<FrontSettings>()> reread);
    ~FrontInstance();

    /// Serves until a signal ends it. Returns the process's exit status.
    int run();

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace catkinlock
