#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace catkinlock {

/// The endpoint of an "ip:port" that the settings or tables have checked; a malformed one gives 0.0.0.0:0, which no
/// connection reaches.
boost::asio::ip::tcp::endpoint parseAddress(const std::string&);

/// The "ip:port" of an endpoint.
std::string formatAddress(const boost::asio::ip::tcp::endpoint&);

/// Opens `acceptor` on an "ip:port" that may have been in use a moment ago. False if it can't be bound.
bool listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

} // namespace catkinlock
