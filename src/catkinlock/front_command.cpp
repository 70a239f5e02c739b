// front: an instance that serves sessions.

#include "catkinlock/command.h"
#include "catkinlock/front_settings.h"
#include "catkinlock/log.h"
#include "libsession/front_instance.h"
#include "platform/platform.h"
#include <array>
#include <fmt/format.h>

namespace catkinlock {

namespace {

    struct Adapter {
        const char* name;
        MakeSessionPlatform make;
    };

    // The adapters that the setting platform.adapter picks from.
    constexpr std::array<Adapter, 1> adapters { { { "lines", &platform::makeLinePlatform } } };

    MakeSessionPlatform findAdapter(const std::string& name)
    {
        for (const Adapter& adapter : adapters) {
            if (name == adapter.name)
                return adapter.make;
        }
        return nullptr;
    }

    // Faults go to standard error.
    std::optional<FrontSettings> readFrontSettings(const std::string& path)
    {
        std::string text;
        if (!readFile(path, text))
            return std::nullopt;
        auto settings = parseFrontSettings(text, path);
        if (settings)
            return *settings;
        for (const Error& fault : settings.error())
            fmt::print(stderr, "{}\n", fault.message);
        return std::nullopt;
    }

} // namespace

int runFront(const CommandOptions& options)
{
    std::string path = options.settingsFile;
    auto settings = readFrontSettings(path);
    if (!settings)
        return ExitInvalid;
    MakeSessionPlatform make = findAdapter(settings->adapter);
    if (!make) {
        fmt::print(
            stderr, "{}: platform.adapter: {} is not a known adapter\n", options.settingsFile, settings->adapter);
        return ExitInvalid;
    }
    setLogInstance(settings->name);
    return FrontInstance(*settings, make, [path] { return readFrontSettings(path); }).run();
}

} // namespace catkinlock
