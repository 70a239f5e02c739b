// A stand-in for one member of a database group. Prints {"address": "ip:port"} once it listens, and exits when its
// standard input closes.

#include "standin/member.h"
#include "standin/pg_session.h"
#include "standin/standin_main.h"
#include <boost/asio.hpp>

namespace asio = boost::asio;
using namespace catkinlock::standin;

namespace {

asio::awaitable<void> acceptClients(asio::ip::tcp::acceptor& acceptor, std::shared_ptr<GroupMember> member)
{
    for (;;) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        auto session = std::make_shared<PgSession>(std::move(socket), member);
        asio::co_spawn(acceptor.get_executor(), session->serve(), asio::detached);
    }
}

} // namespace

int main()
{
    asio::io_context context(1);
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    std::string address = announceAddress(acceptor.local_endpoint());
    auto member = std::make_shared<GroupMember>(context, address);
    asio::co_spawn(context, acceptClients(acceptor, member), asio::detached);
    exitOnInputEnd(context);
    context.run();
    return 0;
}
