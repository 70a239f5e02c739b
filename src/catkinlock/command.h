#pragma once

#include <string>
#include <vector>

namespace catkinlock {

/// Exit statuses of the commands.
enum ExitStatus {
    ExitDone = 0,
    ExitFailed = 1,
    /// The command line, the settings or a document is invalid; nothing was changed.
    ExitInvalid = 2,
    /// The entry has changed since the revision that the edit is based on; nothing was changed.
    ExitConflict = 3,
    /// The platform's response was lost, and whether the change took effect could not be found out.
    ExitUnknown = 4,
};

/// The parsed command line.
struct CommandOptions {
    /// Path of the settings (TOML).
    std::string settingsFile;
    /// "ip:port" at which an instance serves callers.
    std::string address;
    /// Path of the document to write or check (JSON).
    std::string file;
    /// Workspace of a new key.
    std::string workspace;
    /// Store revision that an edit is based on; 0 for a new entry, -1 if none was given.
    long long revision = -1;
    /// True if the output is to be JSON.
    bool json = false;
    /// Positional arguments, the command first, such as "route", "put", "NAME".
    std::vector<std::string> arguments;
};

// Each runs one command and returns an ExitStatus.

int runServe(const CommandOptions&);
int runFront(const CommandOptions&);
int runCheck(const CommandOptions&);
/// The commands "route", "pool" and "workspace".
int runTable(const CommandOptions&);
int runKey(const CommandOptions&);
int runInstance(const CommandOptions&);
int runStatus(const CommandOptions&);
int runReport(const CommandOptions&);

/// Reads a whole file. If it can't be read, prints a message to standard error and returns false.
bool readFile(const std::string& path, std::string& text);

} // namespace catkinlock
