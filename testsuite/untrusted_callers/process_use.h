#pragma once

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/types.h>

namespace catkinlock {

/// The largest resident memory and number of open descriptors that were seen of a process.
class ProcessUse {
public:
    explicit ProcessUse(pid_t pid)
        : folder("/proc/" + std::to_string(pid))
    {
    }

    /// Looks at the process. A process that has ended uses nothing.
    void sample()
    {
        this->residentBytes = std::max(this->residentBytes, this->readResidentBytes());
        std::error_code error;
        std::filesystem::directory_iterator open(this->folder + "/fd", error);
        if (!error)
            this->descriptors = std::max<std::size_t>(
                this->descriptors, static_cast<std::size_t>(std::distance(begin(open), end(open))));
    }

    std::uint64_t residentBytes = 0;
    std::size_t descriptors = 0;

private:
    std::uint64_t readResidentBytes() const
    {
        std::ifstream status(this->folder + "/status");
        std::string word;
        std::uint64_t kilobytes = 0;
        while (status >> word) {
            if (word == "VmRSS:") {
                status >> kilobytes;
                break;
            }
        }
        return kilobytes << 10;
    }

    std::string folder;
};

} // namespace catkinlock
