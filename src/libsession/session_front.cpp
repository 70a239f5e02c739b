#include "libsession/session_front.h"

#include "catkinlock/address.h"
#include "catkinlock/caller_budget.h"
#include "catkinlock/caller_limit_log.h"
#include "catkinlock/caller_protocol.h"
#include "libsession/session.h"
#include "libsession/spawn.h"
#include <array>
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Delay after a failed accept, for example when the process is out of file descriptors.
    constexpr Milliseconds acceptRetryDelay { 20 };
    // Entries of ended sessions are removed from the list once it has this many.
    constexpr std::size_t sweepThreshold = 256;

} // namespace

struct SessionFront::Acceptor {
    explicit Acceptor(asio::io_context& context)
        : socket(context)
    {
    }
    asio::ip::tcp::acceptor socket;
};

SessionFront::SessionFront(asio::io_context& context, std::shared_ptr<SessionContext> sessionContext)
    : context(context)
    , sessionContext(std::move(sessionContext))
    , acceptor(std::make_unique<Acceptor>(context))
{
}

SessionFront::~SessionFront() = default;

bool SessionFront::listen(const std::string& address) { return listenOn(this->acceptor->socket, address); }

void SessionFront::start()
{
    spawn(this->context, [self = this->shared_from_this()] { return self->accept(); });
}

void SessionFront::stopAccepting()
{
    boost::system::error_code ignored;
    // Connections that are complete already would be reset.
    this->acceptor->socket.non_blocking(true, ignored);
    for (;;) {
        boost::system::error_code error;
        auto socket = this->acceptor->socket.accept(error);
        if (error)
            break;
        this->serve(std::move(socket));
    }
    this->acceptor->socket.close(ignored);
}

asio::awaitable<void> SessionFront::accept()
{
    auto self = this->shared_from_this();
    while (this->acceptor->socket.is_open()) {
        auto [error, socket] = co_await this->acceptor->socket.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer pause(this->context, acceptRetryDelay);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        this->serve(std::move(socket));
    }
}

void SessionFront::serve(asio::ip::tcp::socket socket)
{
    boost::system::error_code error;
    auto endpoint = socket.remote_endpoint(error);
    // A connection that has ended already has no address.
    if (error)
        return;
    std::string address = endpoint.address().to_string();
    auto charge = this->sessionContext->budget->admit(address);
    if (!charge)
        return this->refuse(std::move(socket), address, charge.error());
    auto session = std::make_shared<Session>(std::move(socket), this->sessionContext, *charge);
    if (this->sessions.size() >= sweepThreshold)
        std::erase_if(this->sessions, [](const auto& weak) { return weak.expired(); });
    this->sessions.push_back(session);
    spawn(this->context, [session] { return session->run(); });
}

// Tells a caller that no connection is free. What it has sent is read before the close, which would otherwise reset the
// connection and could lose the refusal.
void SessionFront::refuse(asio::ip::tcp::socket socket, const std::string& address, CallerLimit limit) const
{
    reportCallerLimit(*this->sessionContext->budget, limit, "callers", address, 0);
    std::string bytes;
    this->sessionContext->protocol->appendRefusedOpening(
        bytes, callerLimitError(limit), std::string("limit of this instance reached: ") + callerLimitName(limit));
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(bytes), ignored);
    std::array<char, 4096> discarded {};
    socket.read_some(asio::buffer(discarded), ignored);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

std::vector<std::shared_ptr<Session>> SessionFront::liveSessions()
{
    std::vector<std::shared_ptr<Session>> found;
    for (const auto& weak : this->sessions) {
        if (auto session = weak.lock())
            found.push_back(session);
    }
    return found;
}

void SessionFront::endSessions(TimePoint now)
{
    for (const auto& session : this->liveSessions())
        session->endIfDue(now);
}

} // namespace catkinlock
