#pragma once

#include "catkinlock/front_settings.h"
#include "catkinlock/session_platform.h"
#include <functional>
#include <memory>
#include <optional>

namespace catkinlock {

/// An entry instance that serves callers' sessions: it listens for callers, follows the metadata store, exchanges
/// messages with other instances and takes part in replacing primaries. Handles SIGTERM, SIGINT and SIGHUP while it
/// exists; signals that arrive before `run` take effect then.
class FrontInstance {
public:
    /// `readSettings` reads the settings file again; it returns std::nullopt if the settings are invalid.
    FrontInstance(FrontSettings, SessionPlatformFactory, std::function<std::optional<FrontSettings>()> readSettings);
    ~FrontInstance();

    /// Serves until SIGTERM or SIGINT has been received and the sessions have ended; those that are left near the end
    /// of the drain time are cut. Returns the exit status of the process, EXIT_FAILURE if it could not start.
    int run();

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace catkinlock
