#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace catkinlock::standin {

/// A caller's session over the line protocol, for tests. Calls block until the response is complete, without a timeout.
class LineCaller {
public:
    /// Connects to `address` ("ip:port") and opens a session; `openResponse` then holds the response.
    LineCaller(const std::string& address, const std::string& database, const std::string& key);

    /// Sends a statement with a new random id and returns the complete response. If the connection ends before, returns
    /// the lines received until then.
    std::string run(const std::string& text);
    /// Id of the last statement sent.
    const std::string& lastId() const { return this->id; }

    /// Response to the opening of the session; empty if the connection failed.
    std::string openResponse;

private:
    std::string readResponse();

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket { this->context };
    /// Bytes received after the last complete line.
    std::string received;
    std::string id;
};

} // namespace catkinlock::standin
