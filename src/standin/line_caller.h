#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace catkinlock::standin {

/// A caller's session over the line protocol, for tests. Each call waits for its answer.
class LineCaller {
public:
    /// Opens a session; `opening` then holds the answer.
    LineCaller(const std::string& address, const std::string& database, const std::string& key);

    /// Sends a statement under a fresh id and returns the whole answer; empty if the connection ended.
    std::string run(const std::string& text);
    const std::string& lastId() const { return this->id; }

    std::string opening;

private:
    std::string readAnswer();

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket { this->context };
    std::string received;
    std::string id;
};

} // namespace catkinlock::standin
