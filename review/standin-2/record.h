// The record of what was sent, answered and run.

#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

inline void sleepMs(int milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

// Writes lines with the seconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
    {
    }
    double now() const { return std::chrono::duration<double>(Clock::now() - this->start).count(); }
    double at(TimePoint time) const { return std::chrono::duration<double>(time - this->start).count(); }
    void write(const std::string& text)
    {
        std::lock_guard lock(this->mutex);
        std::fprintf(this->file, "%8.3f %s\n", this->now(), text.c_str());
        std::fflush(this->file);
    }
    // Also to standard output.
    void say(const std::string& text)
    {
        this->write(text);
        std::printf("%8.3f %s\n", this->now(), text.c_str());
        std::fflush(stdout);
    }

private:
    TimePoint start = Clock::now();
    std::mutex mutex;
    std::FILE* file;
};

} // namespace review
