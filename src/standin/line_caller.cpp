#include "standin/line_caller.h"

#include "catkinlock/address.h"
#include "catkinlock/digest.h"
#include <boost/asio.hpp>

namespace catkinlock::standin {

namespace asio = boost::asio;

LineCaller::LineCaller(const std::string& address, const std::string& database, const std::string& key)
{
    boost::system::error_code error;
    this->socket.connect(parseAddress(address), error);
    asio::write(this->socket, asio::buffer("CONNECT " + database + " " + key + "\r\n"), error);
    if (!error)
        this->openResponse = this->readResponse();
}

std::string LineCaller::run(const std::string& text)
{
    this->id = randomHex(8);
    boost::system::error_code error;
    asio::write(this->socket, asio::buffer("QUERY " + this->id + " " + text + "\r\n"), error);
    return error ? "" : this->readResponse();
}

// Reads up to the READY line, which ends every response, or to the end of the connection.
std::string LineCaller::readResponse()
{
    boost::system::error_code error;
    std::string response;
    while (!error) {
        std::size_t size = asio::read_until(this->socket, asio::dynamic_buffer(this->received), "\r\n", error);
        std::string line = this->received.substr(0, size);
        this->received.erase(0, size);
        response += line;
        if (line.starts_with("READY"))
            return response;
    }
    return response;
}

} // namespace catkinlock::standin
