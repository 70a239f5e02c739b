#include "standin/standin_main.h"

#include <boost/asio.hpp>
#include <cstdio>
#include <fmt/format.h>
#include <unistd.h>

namespace catkinlock::standin {

namespace asio = boost::asio;

namespace {

    void awaitInputEnd(std::shared_ptr<asio::posix::stream_descriptor> input, std::shared_ptr<char> byte)
    {
        input->async_read_some(
            asio::buffer(byte.get(), 1), [input, byte](boost::system::error_code error, std::size_t) {
                if (error)
                    _exit(0);
                awaitInputEnd(input, byte);
            });
    }

} // namespace

std::string announceAddress(const asio::ip::tcp::endpoint& endpoint)
{
    std::string address = fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
    fmt::print("{{\"address\": \"{}\"}}\n", address);
    std::fflush(stdout);
    return address;
}

void exitOnInputEnd(asio::io_context& context)
{
    awaitInputEnd(
        std::make_shared<asio::posix::stream_descriptor>(context, dup(STDIN_FILENO)), std::make_shared<char>());
}

} // namespace catkinlock::standin
