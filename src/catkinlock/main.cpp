#include "catkinlock/command.h"
#include <array>
#include <cstring>
#include <fmt/format.h>
#include <popt.h>

using namespace catkinlock;

namespace {

struct Command {
    const char* name;
    int (*run)(const CommandOptions&);
};

constexpr std::array<Command, 10> commands { {
    { "serve", &runServe },
    { "front", &runFront },
    { "check", &runCheck },
    { "route", &runTable },
    { "pool", &runTable },
    { "workspace", &runTable },
    { "key", &runKey },
    { "instance", &runInstance },
    { "status", &runStatus },
    { "report", &runReport },
} };

constexpr const char* usage
    = "COMMAND [OPTIONS]\n\n"
      "  serve                                run an entry instance\n"
      "  front                                run an instance that serves sessions\n"
      "  check                                check settings, and tables with --file\n"
      "  route|pool|workspace list            list the entries of a table\n"
      "  route|pool|workspace show NAME       show an entry and its revision\n"
      "  route|pool|workspace put NAME        write an entry from --file, based on --revision\n"
      "  route|pool|workspace delete NAME     delete an entry, based on --revision\n"
      "  key issue|withdraw DIGEST|list       edit or list the keys of workspaces; a new key is printed once\n"
      "  instance list|drain NAME             list the fleet as known to one instance; drain an instance\n"
      "  status                               state of one instance\n"
      "  report burn                          use of the error budget by route and workspace\n\n"
      "Exit status: 0 done, 1 failed, 2 invalid, 3 conflict, 4 unknown.\n\nOptions:";

// Option values as popt stores them. Options that were not given keep their defaults.
struct RawOptions {
    char* settings = nullptr;
    char* address = nullptr;
    char* file = nullptr;
    char* workspace = nullptr;
    long long revision = -1;
    int json = 0;
};

std::string textOf(const char* text) { return text ? text : ""; }

int runCommand(const CommandOptions& options)
{
    for (const Command& command : commands) {
        if (options.arguments[0] == command.name)
            return command.run(options);
    }
    fmt::print(stderr, "{} is not a command; see catkinlock --help\n", options.arguments[0]);
    return ExitInvalid;
}

} // namespace

int main(int argc, char** argv)
{
    RawOptions raw;
    poptOption optionTable[] = {
        { "settings", 's', POPT_ARG_STRING, &raw.settings, 0, "settings of the instance (TOML)", "FILE" },
        { "address", 'a', POPT_ARG_STRING, &raw.address, 0, "an instance's address for callers", "IP:PORT" },
        { "file", 'f', POPT_ARG_STRING, &raw.file, 0, "document to write or check (JSON)", "FILE" },
        { "workspace", 'w', POPT_ARG_STRING, &raw.workspace, 0, "workspace of a new key", "NAME" },
        { "revision", 'r', POPT_ARG_LONGLONG, &raw.revision, 0, "revision that the edit is based on; 0 if new", "N" },
        { "json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("catkinlock", argc, const_cast<const char**>(argv), optionTable, 0);
    poptSetOtherOptionHelp(context, usage);
    // -1 at the end of the options, less on an error.
    int poptResult = poptGetNextOpt(context);
    CommandOptions options { textOf(raw.settings), textOf(raw.address), textOf(raw.file), textOf(raw.workspace),
        raw.revision, raw.json != 0, {} };
    while (const char* argument = poptGetArg(context))
        options.arguments.emplace_back(argument);
    int status = ExitInvalid;
    if (poptResult < -1)
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(poptResult));
    else if (options.arguments.empty())
        poptPrintHelp(context, stderr, 0);
    else
        status = runCommand(options);
    poptFreeContext(context);
    return status;
}
