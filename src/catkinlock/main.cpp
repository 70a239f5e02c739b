#include "catkinlock/log.h"
#include "catkinlock/settings.h"
#include "libserver/instance.h"
#include <fmt/format.h>
#include <fstream>
#include <sstream>

int main(int argc, char** argv)
{
    std::string path = argc > 3 ? argv[3] : "";
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    auto settings = catkinlock::parseSettings(text.str(), path);
    if (!settings) {
        for (const auto& error : settings.error())
            fmt::print(stderr, "{}\n", error.message);
        return 2;
    }
    catkinlock::setLogInstance(settings->name);
    return catkinlock::Instance(*settings, {}).run();
}
