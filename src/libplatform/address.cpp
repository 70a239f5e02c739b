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
    auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    auto parsed = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (error || parsed.ec != std::errc())
        return {};
    return { address, port };
}

std::string formatAddress(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace catkinlock
