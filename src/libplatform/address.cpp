#include "catkinlock/address.h"

#include <charconv>

namespace catkinlock {

using boost::asio::ip::tcp;

tcp::endpoint parseAddress(const std::string& text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return {};
    boost::system::error_code error;
    std::string host = text.substr(0, colon);
    if (host.starts_with("[") && host.ends_with("]"))
        host = host.substr(1, host.size() - 2);
    // The conversion would end at a null character.
    if (host.find('\0') != std::string::npos)
        return {};
    auto address = boost::asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
        return {};
    return { address, port };
}

std::string formatAddress(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

bool listenOn(tcp::acceptor& acceptor, const std::string& address)
{
    auto endpoint = parseAddress(address);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    return !error;
}

} // namespace catkinlock
