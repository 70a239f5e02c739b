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

/// The data and the log position of one stand-in group, shared by its members: every member sees a write at once.
struct LineGroup {
    /// Values by item name.
    std::map<std::string, std::string> items;
    Position position { 1, 1 };
    /// Index of the primary; SIZE_MAX if there is none.
    std::size_t primary = 0;
    /// Statement ids of the committed writes, oldest first.
    std::vector<std::string> committedWriteIds;
};

/// A stand-in group member that speaks the line protocol. Its group's data is shared, so replicas never lag. Not
/// thread-safe.
class LineMember : public std::enable_shared_from_this<LineMember> {
public:
    LineMember(boost::asio::io_context&, std::shared_ptr<LineGroup>, std::size_t index, std::string id);

    /// Accepts connections on a loopback port chosen by the kernel. Returns "ip:port".
    std::string start();
    /// Sets whether messages are discarded without effect and without a response.
    void setUnresponsive(bool unresponsive) { this->unresponsive = unresponsive; }
    /// Delays the response to each message by this time.
    void setResponseDelay(std::chrono::milliseconds delay) { this->responseDelay = delay; }
    /// Refuses new connections while this number or more are open.
    void setMaxConnections(std::size_t limit) { this->maxConnections = limit; }
    /// Number of open connections, not counting refused ones.
    std::size_t connections() const { return this->openConnections; }

private:
    struct Connection;
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection>);
    /// Sends the error of a member at its connection limit, and closes the connection.
    static boost::asio::awaitable<void> refuseConnection(std::shared_ptr<Connection>);
    std::string execute(Connection&, const SessionStatement&);
    /// ROW line of the member's status.
    std::string statusRow() const;

    boost::asio::io_context& context;
    std::shared_ptr<LineGroup> group;
    std::size_t index;
    std::string id;
    boost::asio::ip::tcp::acceptor acceptor;
    /// Term of the last PAUSE or STEPDOWN command; 0 if there was none.
    std::uint64_t fencedTerm = 0;
    bool unresponsive = false;
    std::chrono::milliseconds responseDelay { 0 };
    std::size_t maxConnections = SIZE_MAX;
    std::size_t openConnections = 0;
};

} // namespace catkinlock::standin
