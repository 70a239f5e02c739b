#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace catkinlock::standin {

/// A child process of a test. Its end is this object's: the child is killed and reaped by its id.
class Process {
public:
    /// Starts a program. Its standard input stays open for as long as this object lives; standard output and standard
    /// error are read together.
    explicit Process(const std::vector<std::string>& command);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Waits for a line of JSON that has the member, and returns the whole line; empty if none came in `seconds`.
    std::string awaitLineWith(const std::string& member, double seconds = 20);
    /// Everything that the process has printed so far.
    std::string output();
    void sendSignal(int);
    /// Kills without warning, and reaps.
    void kill();
    /// Waits for the end and returns the exit status; -1 if it did not end in time, or by a signal.
    int awaitExit(double seconds);
    bool isRunning() const { return this->id > 0; }
    pid_t pid() const { return this->id; }

private:
    void readSome(int timeoutMs);

    pid_t id = -1;
    int input = -1;
    int outputDescriptor = -1;
    std::string text;
};

} // namespace catkinlock::standin
