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

} // namespace

int runFront(const CommandOptions& options)
{
    std::string text;
    if (!readFile(options.settingsFile, text))
        return ExitInvalid;
    auto settings = parseFrontSettings(text, options.settingsFile);
    if (!settings) {
        for (const Error& fault : settings.error())
            fmt::print(stderr, "{}\n", fault.message);
        return ExitInvalid;
    }
    MakeSessionPlatform make = findAdapter(settings->adapter);
    if (!make) {
        fmt::print(
            stderr, "{}: platform.adapter: {} is not a known adapter\n", options.settingsFile, settings->adapter);
        return ExitInvalid;
    }
    setLogInstance(settings->name);
    return FrontInstance(*settings, make).run();
}

} // namespace catkinlock
