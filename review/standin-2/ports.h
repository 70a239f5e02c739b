// Ports for what a case starts.

#pragma once

#include "net.h"
#include <random>
#include <set>
#include <vector>

namespace review {

// Free ports below those that the kernel gives to connections.
inline std::vector<int> freePorts(std::size_t count)
{
    static std::minstd_rand random(std::random_device {}());
    static std::set<int> chosen;
    std::vector<int> ports;
    while (ports.size() < count) {
        int port = 12000 + static_cast<int>(random() % 20000);
        int fd = tryListenOnLoopback(port);
        if (fd < 0)
            continue;
        close(fd);
        if (!chosen.insert(port).second)
            continue;
        ports.push_back(port);
    }
    return ports;
}

} // namespace review
