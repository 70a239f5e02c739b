#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace catkinlock::standin {

/// Prints the address that a stand-in listens on, as a JSON line, and returns it as "ip:port".
std::string announce(const boost::asio::ip::tcp::endpoint&);

/// Stops the context when standard input closes, so that no stand-in outlives a test.
void endWithParent(boost::asio::io_context&);

} // namespace catkinlock::standin
