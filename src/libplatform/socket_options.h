#pragma once

#include "catkinlock/clock.h"
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <netinet/tcp.h>

namespace catkinlock {

/// Sets whether closing the socket resets the connection, so that the kernel drops what it has not delivered yet. After
/// an ordinary close it goes on sending.
inline void setResetOnClose(boost::asio::ip::tcp::socket& socket, bool resets)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(resets, 0), ignored);
}

/// Lets the kernel end the connection if it could not deliver something within `timeout`. This holds also while the
/// process stands still.
inline void limitDelivery(boost::asio::ip::tcp::socket& socket, Milliseconds timeout)
{
    using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    boost::system::error_code ignored;
    socket.set_option(UserTimeout(static_cast<int>(timeout.count())), ignored);
}

} // namespace catkinlock
