// Instances of the program under review, started as the deploy file starts them, and clients of theirs.

#pragma once

#include "ports.h"
#include "record.h"
#include "store.h"
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

// The answer to one statement.
struct Reply {
    // Empty after a success; "LOST" if the connection broke, "NONE" if no answer came in time.
    std::string error;
    std::string signature;
    std::vector<std::string> rows;
    std::string state;
};

// One session of a client.
class Client {
public:
    ~Client()
    {
        if (this->fd >= 0)
            close(this->fd);
    }
    bool open(int port, const std::string& database, const std::string& key)
    {
        this->fd = connectToLoopback(port);
        if (this->fd < 0)
            return false;
        this->reader = std::make_unique<LineReader>(this->fd);
        if (!sendAll(this->fd, "CONNECT " + database + " " + key + "\r\n"))
            return false;
        auto line = this->reader->line(2000);
        return line && line->starts_with("READY");
    }
    Reply query(const std::string& id, const std::string& text, int timeoutMs = 3000)
    {
        Reply reply;
        if (!sendAll(this->fd, "QUERY " + id + " " + text + "\r\n"))
            return { "LOST", "", {}, "" };
        for (;;) {
            auto line = this->reader->line(timeoutMs);
            if (!line)
                return { "LOST", "", {}, "" };
            std::string word = line->substr(0, line->find(' '));
            std::string rest = line->substr(std::min(line->size(), word.size() + 1));
            if (word == "ROW")
                reply.rows.push_back(rest);
            else if (word == "DONE")
                reply.signature = rest;
            else if (word == "ERR")
                reply.error = rest;
            else if (word == "READY") {
                reply.state = rest.substr(0, 1);
                return reply;
            }
        }
    }

private:
    int fd = -1;
    std::unique_ptr<LineReader> reader;
};

// A process of the program, with the settings that the template of the deploy file gives.
class Instance {
public:
    struct Options {
        std::string program;
        std::string folder;
        std::string name;
        std::string zone;
        std::string store;
        std::string promotions;
    };

    explicit Instance(Options given)
        : options(std::move(given))
    {
        this->writeSettings();
    }
    ~Instance() { this->stop(); }

    // Writes a settings file with ports that are free.
    void writeSettings()
    {
        std::vector<int> ports = freePorts(4);
        this->front = ports[0];
        this->ready = ports[1];
        this->settings = this->options.folder + "/" + this->options.name + ".toml";
        auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        std::ofstream file(this->settings);
        file << "[instance]\nname = \"" << this->options.name << "\"\ndata_centre = \"" << this->options.zone
             << "\"\ncallers = " << address(ports[0]) << "ready = " << address(ports[1])
             << "ready_path = \"/api/ready\"\nmetrics = " << address(ports[2]) << "peer = " << address(ports[3])
             << "cores = 0.17\nmemory_mb = 182\nmax_fds = 3010\ndrain_seconds = 6\n\n[platform]\nadapter = \"lines\"\n"
             << "store = \"" << this->options.store << "\"\npromotions = \"" << this->options.promotions
             << "\"\n\n[fleet]\nsecret = \"change-this-secret-of-the-fleet\"\nrevocation_ms = 5000\napply_ms = 3000\n"
             << "member_drain_ms = 7000\n";
    }

    // Runs `target/bin/catkinlock front --settings FILE`.
    void start()
    {
        std::string log = this->options.folder + "/" + this->options.name + ".log";
        this->pid = fork();
        if (this->pid)
            return;
        // Ends with the stand-in, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        execl(this->options.program.c_str(), this->options.program.c_str(), "front", "--settings",
            this->settings.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    void signal(int number) const { ::kill(this->pid, number); }
    void stop()
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }
    // True if the process has ended by itself.
    bool hasEnded()
    {
        int status = 0;
        if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid)
            return false;
        this->pid = 0;
        return true;
    }
    bool isReady() const
    {
        int fd = connectToLoopback(this->ready);
        if (fd < 0)
            return false;
        sendAll(fd, "GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        auto line = LineReader(fd).line(1000);
        close(fd);
        return line && line->find(" 200") != std::string::npos;
    }
    int port() const { return this->front; }
    const std::string& name() const { return this->options.name; }

private:
    Options options;
    std::string settings;
    int front = 0;
    int ready = 0;
    pid_t pid = 0;
};

} // namespace review
