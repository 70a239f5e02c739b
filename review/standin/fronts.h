// Starts the project's own program as separate processes, and ends just these.
#pragma once

#include "platform.h"
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

// A free port below the range from which the kernel takes the ports of outgoing connections.
inline unsigned short freePort(asio::io_context& context)
{
    static unsigned next = 12000 + static_cast<unsigned>(::getpid()) % 150 * 100;
    for (;; ++next) {
        tcp::acceptor probe(context);
        boost::system::error_code error;
        probe.open(tcp::v4(), error);
        probe.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(next)), error);
        if (!error)
            return static_cast<unsigned short>(next++);
    }
}

// One machine with one front process. A process that has ended is started again after a short delay.
class Front : public std::enable_shared_from_this<Front> {
public:
    Front(asio::io_context& context, Record& record, std::string name, std::string folder, std::string zone = "z1")
        : name(std::move(name))
        , callers(freePort(context))
        , ready(freePort(context))
        , context(context)
        , record(record)
        , folder(std::move(folder))
        , zone(std::move(zone))
        , peer(freePort(context))
        , metrics(freePort(context))
    {
    }

    ~Front() { this->killNow(); }

    void run(const std::string& storeAddress, const std::string& promotionAddress)
    {
        std::ofstream file(this->settingsPath());
        file << "[instance]\nname = \"" << this->name << "\"\ndata_centre = \"" << this->zone
             << "\"\ncallers = \"127.0.0.1:" << this->callers << "\"\nready = \"127.0.0.1:" << this->ready
             << "\"\nready_path = \"/api/ready\"\nmetrics = \"127.0.0.1:" << this->metrics
             << "\"\npeer = \"127.0.0.1:" << this->peer << "\"\ncores = 0.17\ndrain_seconds = 6\n\n"
             << "[platform]\nadapter = \"lines\"\nstore = \"" << storeAddress << "\"\npromotions = \"" << promotionAddress
             << "\"\n\n[fleet]\nsecret = \"change-this-secret-of-the-fleet\"\nrevocation_ms = 5000\napply_ms = 3000\n";
        file.close();
        this->launch();
        start(this->context, [self = this->shared_from_this()] { return self->supervise(); });
        start(this->context, [self = this->shared_from_this()] { return self->probe(); });
    }

    void signal(int number)
    {
        if (this->pid > 0)
            ::kill(this->pid, number);
    }

    // SIGTERM, and SIGKILL after the grace period.
    void terminate(Ms grace)
    {
        this->record.write("SIGTERM " + this->name);
        this->terminatedAt = this->record.now();
        this->signal(SIGTERM);
        pid_t ended = this->pid;
        start(this->context, [self = this->shared_from_this(), grace, ended]() -> asio::awaitable<void> {
            co_await pause(grace);
            if (self->pid == ended)
                self->signal(SIGKILL);
        });
    }

    void killNow()
    {
        this->stopped = true;
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }

    bool running() const { return this->pid > 0; }

    std::string name;
    unsigned short callers;
    unsigned short ready;
    // As the balancer sees it: out of rotation after two misses.
    bool inRotation = false;
    // Time of the last SIGTERM; -1 if there was none.
    long terminatedAt = -1;
    // Time at which the last process ended; -1 if none has.
    long endedAt = -1;

private:
    std::string settingsPath() const { return this->folder + "/" + this->name + ".toml"; }

    void launch()
    {
        std::string command = "target/bin/catkinlock front --settings " + this->settingsPath();
        std::vector<std::string> words;
        std::istringstream stream(command);
        for (std::string word; stream >> word;)
            words.push_back(word);
        std::vector<char*> arguments;
        for (std::string& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        std::string log = this->folder + "/" + this->name + ".log";
        this->context.notify_fork(asio::io_context::fork_prepare);
        this->pid = ::fork();
        if (!this->pid) {
            // The process ends with this one.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            for (int fd = 3; fd < 1024; ++fd)
                ::close(fd);
            ::setenv("CATKINLOCK_BOOT", this->settingsPath().c_str(), 1);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        this->context.notify_fork(asio::io_context::fork_parent);
        this->record.write("start " + this->name + " pid " + std::to_string(this->pid));
    }

    asio::awaitable<void> supervise()
    {
        auto self = this->shared_from_this();
        while (!this->stopped) {
            co_await pause(Ms(10));
            int status = 0;
            if (this->pid <= 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid)
                continue;
            this->pid = 0;
            this->endedAt = this->record.now();
            this->record.write("end " + this->name + " status " + std::to_string(status));
            co_await pause(Ms(500));
            if (!this->stopped)
                this->launch();
        }
    }

    asio::awaitable<bool> isReady()
    {
        auto self = this->shared_from_this();
        beast::tcp_stream stream(this->context);
        stream.expires_after(Ms(900));
        auto [error] = co_await stream.async_connect(
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->ready), asTuple());
        if (error)
            co_return false;
        http::request<http::string_body> request(http::verb::get, "/api/ready", 11);
        request.set(http::field::host, "ready");
        request.prepare_payload();
        auto [writeError, written] = co_await http::async_write(stream, request, asTuple());
        if (writeError)
            co_return false;
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        auto [readError, size] = co_await http::async_read(stream, buffer, response, asTuple());
        co_return !readError && response.result_int() == 200;
    }

    asio::awaitable<void> probe()
    {
        auto self = this->shared_from_this();
        unsigned misses = 2;
        while (!this->stopped) {
            bool ok = co_await this->isReady();
            misses = ok ? 0 : misses + 1;
            bool next = misses < 2;
            if (next != this->inRotation)
                this->record.write(this->name + (next ? " in rotation" : " out of rotation"));
            this->inRotation = next;
            co_await pause(Ms(1000));
        }
    }

    asio::io_context& context;
    Record& record;
    std::string folder;
    std::string zone;
    unsigned short peer;
    unsigned short metrics;
    pid_t pid = 0;
    bool stopped = false;
};

struct Reply {
    // False if the connection ended before the reply was complete.
    bool complete = false;
    bool done = false;
    std::string error;
    std::string signature;
    char state = '?';
};

// A client's session on one front.
class Session {
public:
    explicit Session(asio::io_context& context)
        : socket(context)
    {
    }

    asio::awaitable<bool> open(unsigned short port, std::string database, std::string key)
    {
        auto [error]
            = co_await this->socket.async_connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), asTuple());
        if (error)
            co_return false;
        boost::system::error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        Reply reply = co_await this->exchange("CONNECT " + database + " " + key + "\r\n");
        co_return reply.complete;
    }

    asio::awaitable<Reply> query(std::string id, std::string text)
    {
        return this->exchange("QUERY " + id + " " + text + "\r\n");
    }

private:
    asio::awaitable<Reply> exchange(std::string bytes)
    {
        Reply reply;
        auto [writeError, written] = co_await asio::async_write(this->socket, asio::buffer(bytes), asTuple());
        std::string chunk(8192, '\0');
        while (!writeError) {
            std::size_t end = this->received.find("\r\n");
            if (end == std::string::npos) {
                auto [error, size] = co_await this->socket.async_read_some(asio::buffer(chunk), asTuple());
                if (error)
                    co_return reply;
                this->received.append(chunk, 0, size);
                continue;
            }
            std::string line = this->received.substr(0, end);
            this->received.erase(0, end + 2);
            if (line.starts_with("DONE ")) {
                reply.done = true;
                reply.signature = line.substr(5);
            } else if (line.starts_with("ERR "))
                reply.error = line.substr(4);
            else if (line.starts_with("READY ")) {
                reply.complete = true;
                reply.state = line[6];
                co_return reply;
            }
        }
        co_return reply;
    }

    tcp::socket socket;
    std::string received;
};

} // namespace review
