#include "standin/process.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

namespace catkinlock::standin {

Process::Process(const std::vector<std::string>& command)
{
    int in[2];
    int out[2];
    if (pipe2(in, O_CLOEXEC) || pipe2(out, O_CLOEXEC)) {
        std::perror("pipe");
        std::abort();
    }
    this->childPid = fork();
    if (!this->childPid) {
        dup2(in[0], STDIN_FILENO);
        dup2(out[1], STDOUT_FILENO);
        dup2(out[1], STDERR_FILENO);
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (const std::string& word : command)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        execv(arguments[0], arguments.data());
        std::perror(arguments[0]);
        _exit(127);
    }
    close(in[0]);
    close(out[1]);
    this->inputDescriptor = in[1];
    this->outputDescriptor = out[0];
    fcntl(this->outputDescriptor, F_SETFL, O_NONBLOCK);
}

Process::~Process()
{
    this->kill();
    close(this->inputDescriptor);
    close(this->outputDescriptor);
}

void Process::readAvailableOutput(int timeoutMs)
{
    pollfd waiting { this->outputDescriptor, POLLIN, 0 };
    if (poll(&waiting, 1, timeoutMs) <= 0)
        return;
    char buffer[8192];
    ssize_t size;
    while ((size = read(this->outputDescriptor, buffer, sizeof buffer)) > 0)
        this->outputText.append(buffer, static_cast<std::size_t>(size));
}

std::string Process::awaitJsonLine(const std::string& field, double seconds)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    std::string quotedField = "\"" + field + "\"";
    while (std::chrono::steady_clock::now() < end) {
        std::size_t found = this->outputText.find(quotedField);
        std::size_t lineEnd = found == std::string::npos ? found : this->outputText.find('\n', found);
        if (lineEnd != std::string::npos) {
            std::size_t start = this->outputText.rfind('\n', found);
            start = start == std::string::npos ? 0 : start + 1;
            return this->outputText.substr(start, lineEnd - start);
        }
        this->readAvailableOutput(50);
    }
    return {};
}

std::string Process::output()
{
    this->readAvailableOutput(0);
    return this->outputText;
}

std::string Process::threadStates() const
{
    namespace fs = std::filesystem;
    std::string states;
    std::error_code error;
    for (const auto& thread : fs::directory_iterator("/proc/" + std::to_string(this->childPid) + "/task", error)) {
        for (const char* name : { "comm", "syscall" }) {
            std::string line;
            std::ifstream file(thread.path() / name);
            std::getline(file, line);
            states += line + (std::string(name) == "comm" ? " in " : "\n");
        }
    }
    return states;
}

void Process::sendSignal(int signal)
{
    if (this->childPid > 0)
        ::kill(this->childPid, signal);
}

void Process::kill()
{
    if (this->childPid <= 0)
        return;
    ::kill(this->childPid, SIGKILL);
    waitpid(this->childPid, nullptr, 0);
    this->childPid = -1;
}

bool Process::hasEnded()
{
    this->collectOutput();
    int status = 0;
    if (this->childPid > 0 && waitpid(this->childPid, &status, WNOHANG) == this->childPid) {
        this->childPid = -1;
        this->foundStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        this->foundSignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    }
    return this->childPid <= 0;
}

int Process::awaitExit(double seconds)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (this->childPid > 0 && std::chrono::steady_clock::now() < end) {
        this->readAvailableOutput(10);
        int status = 0;
        if (waitpid(this->childPid, &status, WNOHANG) == this->childPid) {
            this->childPid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
    }
    return -1;
}

} // namespace catkinlock::standin
