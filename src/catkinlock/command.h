#pragma once

#include <string>
#include <vector>

namespace catkinlock {

/// Exit statuses of the operators' client.
enum ExitStatus {
    ExitDone = 0,
    ExitFailed = 1,
    /// The command line or a document is wrong; nothing was changed.
    ExitInvalid = 2,
    /// Somebody else has changed the entry since the revision that the edit is based on; nothing was changed.
    ExitConflict = 3,
    /// The platform's answer is missing and it can't be told whether the change took effect.
    ExitUnknown = 4,
};

/// What the command line says, after the sub-command's words.
struct CommandOptions {
    std::string settingsFile;
    std::string address;
    std::string file;
    std::string workspace;
    /// Revision that an edit is based on; 0 for a new entry, -1 if none was given.
    long long revision = -1;
    bool json = false;
    /// Words that are no options, such as "route", "put", "NAME".
    std::vector<std::string> words;
};

int runServe(const CommandOptions&);
int runFront(const CommandOptions&);
int runCheck(const CommandOptions&);
/// "route", "pool" and "workspace".
int runTable(const CommandOptions&);
int runKey(const CommandOptions&);
int runInstance(const CommandOptions&);
int runStatus(const CommandOptions&);
int runReport(const CommandOptions&);

/// Reads a whole file; false with a message on standard error if it can't be read.
bool readFile(const std::string& path, std::string& text);

} // namespace catkinlock
