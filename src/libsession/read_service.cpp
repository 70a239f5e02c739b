#include "libsession/read_service.h"

#include "catkinlock/log.h"
#include "catkinlock/peer_sender.h"
#include "libsession/gateway_clocks.h"
#include "libsession/progress_notice.h"
#include "libsession/read_forwarder.h"
#include "libsession/session_context.h"
#include "libsession/session_runner.h"
#include "libsession/spawn.h"
#include "libsession/target_groups.h"
#include "libsession/view_freshness.h"
#include "peer.pb.h"
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Further reads are refused, because they would wait here for long.
    constexpr std::size_t maxRunning = 64;

} // namespace

ReadService::ReadService(Parts parts)
    : parts(std::move(parts))
{
}

void ReadService::receiveRequest(const std::string& sender, const wire::ReadRequest& request)
{
    auto read = readCall(request);
    if (!read) {
        writeLog(LogLevel::Warning, "read_request_rejected", { { "sender", sender } });
        return;
    }
    TimePoint receivedAt = Clock::now();
    TimePoint deadline = receivedAt + Milliseconds(request.time_left_ms());
    spawn(this->parts.sessions->executor,
        [self = this->shared_from_this(), sender, id = request.id(), read = std::move(*read), receivedAt, deadline] {
            return self->serve(sender, id, read, receivedAt, deadline);
        });
}

bool ReadService::isAvailable() const
{
    const SessionContext& sessions = *this->parts.sessions;
    return !sessions.drain && sessions.freshness->isFresh(Clock::now()) && this->running < maxRunning;
}

asio::awaitable<void> ReadService::serve(
    std::string sender, std::uint64_t id, ForwardedCall read, TimePoint receivedAt, TimePoint deadline)
{
    auto self = this->shared_from_this();
    auto envelope = std::make_shared<wire::Envelope>();
    wire::ReadReply& message = *envelope->mutable_read_reply();
    message.set_id(id);
    message.set_request(read.statement.id);
    message.set_gateway_run(this->parts.run);
    message.set_clock_ms(toClockMs(receivedAt));
    if (!this->isAvailable() || !confirmsKey(*this->parts.sessions, read.keyDigest)) {
        message.set_unavailable(true);
        this->reply(std::move(sender), envelope);
        co_return;
    }
    auto sessions = this->parts.sessions;
    sessions->groups->refresh(*sessions->view->read(), Clock::now());
    StatementCall call;
    call.route = read.route;
    call.workspace = read.workspace;
    call.arrivedAt = Clock::now();
    call.deadline = deadline;
    // The instance that received the read has checked the caller's key, by a view that may be older by now than it may
    // be used.
    call.isAllowed = [sessions, digest = read.keyDigest] { return confirmsKey(*sessions, digest); };
    SessionRunner runner(sessions);
    runner.adopt(read, false);
    ++this->running;
    ProgressNotice notice(sessions->executor, gatewayReplyTime(read.route, call.arrivedAt, deadline) / 2,
        [self, sender, id, request = read.statement.id] { self->reportRunning(sender, id, request); });
    ForwardedReply forwarded;
    forwarded.reply = co_await runner.run(read.statement, call);
    --this->running;
    forwarded.member = runner.lastMember();
    forwarded.attempts = runner.lastAttempts();
    writeReply(forwarded, message);
    this->reply(std::move(sender), envelope);
}

void ReadService::reportRunning(std::string address, std::uint64_t id, std::string request)
{
    auto envelope = std::make_shared<wire::Envelope>();
    wire::ReadReply& message = *envelope->mutable_read_reply();
    message.set_id(id);
    message.set_request(std::move(request));
    message.set_running(true);
    this->reply(std::move(address), envelope);
}

void ReadService::reply(std::string address, std::shared_ptr<wire::Envelope> envelope)
{
    asio::post(this->parts.control,
        [link = this->parts.link, address = std::move(address), envelope] { link->send(address, *envelope); });
}

} // namespace catkinlock
