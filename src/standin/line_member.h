#pragma once

#include "catkinlock/caller_message.h"
#include "catkinlock/position.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// The data and the log of one stand-in group. Every member sees it at once.
struct LineGroup {
    std::map<std::string, std::string> items;
    Position position { 1, 1 };
    /// Index of the member that leads.
    std::size_t primary = 0;
    /// Ids of writes that were committed, in order.
    std::vector<std::string> committed;
};

/// A stand-in group member that speaks the line protocol. Data is shared by the group, so replicas never lag.
class LineMember : public std::enable_shared_from_this<LineMember> {
public:
    LineMember(boost::asio::io_context&, std::shared_ptr<LineGroup>, std::size_t index, std::string id);

    /// Listens on a port that the kernel chooses and returns "ip:port".
    std::string start();
    /// Answers nothing from now on, or again.
    void setDark(bool dark) { this->dark = dark; }
    /// Answers each message this much later.
    void setAnswerDelay(std::chrono::milliseconds delay) { this->answerDelay = delay; }
    /// Refuses connections beyond this number.
    void setMostConnections(std::size_t most) { this->mostConnections = most; }
    std::size_t connections() const { return this->openConnections; }

private:
    struct Connection;
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection>);
    static boost::asio::awaitable<void> refuse(std::shared_ptr<Connection>);
    std::string answer(Connection&, const SessionStatement&);
    std::string reportRow() const;

    boost::asio::io_context& context;
    std::shared_ptr<LineGroup> group;
    std::size_t index;
    std::string id;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint64_t termHeld = 0;
    bool dark = false;
    std::chrono::milliseconds answerDelay { 0 };
    std::size_t mostConnections = SIZE_MAX;
    std::size_t openConnections = 0;
};

} // namespace catkinlock::standin
