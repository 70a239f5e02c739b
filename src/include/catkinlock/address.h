#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace catkinlock {

/// Parses an "ip:port", with or without brackets around an IPv6 address. Malformed text yields 0.0.0.0:0, to which no
/// connection can be opened.
boost::asio::ip::tcp::endpoint parseAddress(const std::string&);

/// Formats an endpoint as "ip:port".
std::string formatAddress(const boost::asio::ip::tcp::endpoint&);

/// Opens `acceptor`, binds it to an "ip:port" and listens. The address is bound with SO_REUSEADDR, so that a restarted
/// instance need not wait until connections in TIME_WAIT expire. Returns false if opening, binding or listening fails.
/// The address must be valid: malformed text would listen on all interfaces, at a port that the kernel chooses.
bool listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

} // namespace catkinlock
