#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace catkinlock::standin {

/// Prints {"address": "ip:port"}, the address that a stand-in listens on, as a line on standard output. Returns the
/// address.
std::string announceAddress(const boost::asio::ip::tcp::endpoint&);

/// Exits the process with status 0 when standard input closes, so that no stand-in outlives the test that started it.
/// Takes effect while the context runs.
void exitOnInputEnd(boost::asio::io_context&);

} // namespace catkinlock::standin
