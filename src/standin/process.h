#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace catkinlock::standin {

/// A child process of a test. The destructor kills it with SIGKILL and reaps it.
class Process {
public:
    /// Starts the program `command[0]`, a path, with the other elements as its arguments. Its standard input is a pipe
    /// that stays open while this object exists; standard output and standard error are read as one stream. Aborts if
    /// the pipes can't be created.
    explicit Process(const std::vector<std::string>& command);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Returns the first line of the output so far, or of what is printed in the next `seconds`, that contains the name
    /// of this JSON field in quotes; empty if there is none.
    std::string awaitJsonLine(const std::string& field, double seconds = 20);
    /// Everything that the process has printed so far.
    std::string output();
    /// A line for each thread of the process: its name, and the system call that it is in, with its arguments. Shows
    /// what a process waits for that does not end.
    std::string threadStates() const;
    /// Takes over what the process has printed, so that its pipe does not fill up.
    void collectOutput() { this->readAvailableOutput(0); }
    /// True if the process has ended; it is then reaped.
    bool hasEnded();
    /// Exit status that `hasEnded` has found; -1 if there is none or a signal has ended the process.
    int exitStatus() const { return this->foundStatus; }
    /// Signal by which the process was ended, as `hasEnded` has found; 0 if there is none.
    int endingSignal() const { return this->foundSignal; }
    /// Sends a signal, unless the process has been reaped.
    void sendSignal(int);
    /// Kills the process with SIGKILL and reaps it.
    void kill();
    /// Waits until the process has ended and returns its exit status; -1 if it did not end within `seconds` or was
    /// ended by a signal.
    int awaitExit(double seconds);
    /// True until the process has been reaped by `kill` or `awaitExit`, even if it ended before.
    bool isRunning() const { return this->childPid > 0; }
    pid_t pid() const { return this->childPid; }

private:
    /// Waits for output for at most this time and appends what is available to `outputText`.
    void readAvailableOutput(int timeoutMs);

    /// -1 once the process has been reaped.
    pid_t childPid = -1;
    int foundStatus = -1;
    int foundSignal = 0;
    int inputDescriptor = -1;
    int outputDescriptor = -1;
    std::string outputText;
};

} // namespace catkinlock::standin
