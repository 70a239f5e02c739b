#pragma once

#include "catkinlock/address.h"
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace catkinlock {

/// How each connection of a crowd behaves.
struct CrowdBehaviour {
    /// What each connection sends, and how often.
    std::string bytes;
    std::size_t repetitions = 1;
    /// The bytes are sent in pieces of this size; 0: at once.
    std::size_t pieceBytes = 0;
    /// Pause after each piece.
    std::chrono::milliseconds pause { 0 };
    /// One byte is read in each interval of this length; 0: nothing is read.
    std::chrono::milliseconds readInterval { 0 };
};

/// Connections from the test to one address that misbehave in the same way. They stay open until the crowd is
/// destroyed, unless the other side closes them.
class Crowd {
public:
    Crowd(const std::string& address, std::size_t size, CrowdBehaviour behaviour)
        : behaviour(std::move(behaviour))
    {
        for (std::size_t i = 0; i < size; ++i) {
            boost::asio::co_spawn(
                this->context, [this, address] { return this->runMember(address); }, boost::asio::detached);
        }
    }

    /// Runs all connections for a short time. False once each has sent everything or has been closed.
    bool step()
    {
        this->context.restart();
        this->context.run_for(std::chrono::milliseconds(5));
        return this->sending > 0;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    static auto asResult() { return boost::asio::as_tuple(boost::asio::use_awaitable); }

    boost::asio::awaitable<void> runMember(std::string address)
    {
        ++this->sending;
        auto socket = std::make_shared<Socket>(this->context);
        this->sockets.push_back(socket);
        auto endpoint = parseAddress(address);
        boost::system::error_code error;
        socket->open(endpoint.protocol(), error);
        // The kernel keeps little of what the crowd doesn't read.
        socket->set_option(boost::asio::socket_base::receive_buffer_size(4096), error);
        auto [connectError] = co_await socket->async_connect(endpoint, asResult());
        if (!connectError && this->behaviour.readInterval.count()) {
            boost::asio::co_spawn(
                this->context, [this, socket] { return this->readSlowly(socket); }, boost::asio::detached);
        }
        for (std::size_t i = 0; i < this->behaviour.repetitions && socket->is_open() && !connectError; ++i)
            co_await this->sendOnce(socket);
        --this->sending;
    }

    boost::asio::awaitable<void> sendOnce(std::shared_ptr<Socket> socket)
    {
        boost::asio::steady_timer timer(this->context);
        const std::string& bytes = this->behaviour.bytes;
        std::size_t piece = this->behaviour.pieceBytes ? this->behaviour.pieceBytes : bytes.size();
        for (std::size_t sent = 0; sent < bytes.size(); sent += piece) {
            auto buffer = boost::asio::buffer(bytes.data() + sent, std::min(piece, bytes.size() - sent));
            auto [error, size] = co_await boost::asio::async_write(*socket, buffer, asResult());
            if (error) {
                boost::system::error_code ignored;
                socket->close(ignored);
                co_return;
            }
            // Without a pause the connections still take turns.
            timer.expires_after(this->behaviour.pause);
            co_await timer.async_wait(asResult());
        }
    }

    boost::asio::awaitable<void> readSlowly(std::shared_ptr<Socket> socket)
    {
        boost::asio::steady_timer timer(this->context);
        char byte = 0;
        for (;;) {
            auto [error, size] = co_await socket->async_read_some(boost::asio::buffer(&byte, 1), asResult());
            if (error)
                co_return;
            timer.expires_after(this->behaviour.readInterval);
            co_await timer.async_wait(asResult());
        }
    }

    // Declared first so that it is destroyed last: the sockets use it.
    boost::asio::io_context context { 1 };
    CrowdBehaviour behaviour;
    std::vector<std::shared_ptr<Socket>> sockets;
    std::size_t sending = 0;
};

} // namespace catkinlock
