// Command front: runs an instance that serves sessions.

#include "catkinlock/allocation.h"
#include "catkinlock/command.h"
#include "catkinlock/front_settings.h"
#include "catkinlock/log.h"
#include "catkinlock/process_signals.h"
#include "libsession/front_instance.h"
#include "platform/platform.h"
#include <array>
#include <fmt/format.h>

namespace catkinlock {

namespace {

    struct Adapter {
        const char* name;
        SessionPlatformFactory makePlatform;
    };

    // Adapters by the value of the setting platform.adapter.
    constexpr std::array<Adapter, 1> adapters { { { "lines", &platform::makeLinePlatform } } };

    // Null if there is no adapter with this name.
    SessionPlatformFactory findAdapter(const std::string& name)
    {
        for (const Adapter& adapter : adapters) {
            if (name == adapter.name)
                return adapter.makePlatform;
        }
        return nullptr;
    }

    // Prints every error to standard error.
    std::optional<FrontSettings> readFrontSettings(const std::string& path)
    {
        std::string text;
        if (!readFile(path, text))
            return std::nullopt;
        auto settings = parseFrontSettings(text, path);
        if (settings)
            return *settings;
        for (const Error& error : settings.error())
            fmt::print(stderr, "{}\n", error.message);
        return std::nullopt;
    }

} // namespace

int runFront(const CommandOptions& options)
{
    ProcessSignals::block();
    returnLargeBuffers();
    std::string path = options.settingsFile;
    auto settings = readFrontSettings(path);
    if (!settings)
        return ExitInvalid;
    SessionPlatformFactory makePlatform = findAdapter(settings->adapter);
    if (!makePlatform) {
        fmt::print(
            stderr, "{}: platform.adapter: {} is not a known adapter\n", options.settingsFile, settings->adapter);
        return ExitInvalid;
    }
    setLogInstance(settings->name);
    FrontInstance instance(*settings, makePlatform, [path] { return readFrontSettings(path); });
    return instance.run();
}

} // namespace catkinlock
