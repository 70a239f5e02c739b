// Blocking sockets on loopback.

#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline void setNoDelay(int fd)
{
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Port 0: one that the kernel chooses. -1 if the port is in use.
inline int tryListenOnLoopback(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (!bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) && !listen(fd, 256))
        return fd;
    close(fd);
    return -1;
}

// Ends the process with 2 if that fails, since the case then can't run.
inline int listenOnLoopback(int port)
{
    int fd = tryListenOnLoopback(port);
    if (fd >= 0)
        return fd;
    std::fprintf(stderr, "cannot listen on port %d\n", port);
    std::_Exit(2);
}

// -1 if nothing accepts the connection.
inline int connectToLoopback(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address)) {
        close(fd);
        return -1;
    }
    setNoDelay(fd);
    return fd;
}

inline bool sendAll(int fd, const std::string& data)
{
    for (std::size_t sent = 0; sent < data.size();) {
        ssize_t size = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

// Reads lines that end with CR LF.
class LineReader {
public:
    explicit LineReader(int fd)
        : fd(fd)
    {
    }

    // Nothing at the end of the connection, or if no line is complete within the time. Negative: no limit.
    std::optional<std::string> line(int timeoutMs = -1)
    {
        for (;;) {
            std::size_t end = this->held.find("\r\n");
            if (end != std::string::npos) {
                std::string text = this->held.substr(0, end);
                this->held.erase(0, end + 2);
                return text;
            }
            if (!this->receive(timeoutMs))
                return std::nullopt;
        }
    }

    std::optional<std::string> bytes(std::size_t count)
    {
        while (this->held.size() < count) {
            if (!this->receive(-1))
                return std::nullopt;
        }
        std::string text = this->held.substr(0, count);
        this->held.erase(0, count);
        return text;
    }

private:
    bool receive(int timeoutMs)
    {
        pollfd wait { this->fd, POLLIN, 0 };
        if (poll(&wait, 1, timeoutMs) <= 0)
            return false;
        char chunk[16384];
        ssize_t size = recv(this->fd, chunk, sizeof chunk, 0);
        if (size <= 0)
            return false;
        this->held.append(chunk, static_cast<std::size_t>(size));
        return true;
    }

    int fd;
    std::string held;
};

} // namespace review
