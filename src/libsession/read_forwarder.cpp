#include "libsession/read_forwarder.h"

#include "catkinlock/log.h"
#include "catkinlock/peer_sender.h"
#include "peer.pb.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <random>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // A gateway has this part of the latency objective to reply, and at least `minReplyTime`.
    constexpr double replyTimeFraction = 0.75;
    constexpr Milliseconds minReplyTime { 150 };
    // The gateway's deadline is earlier than the one here, so that its reply arrives in time.
    constexpr Milliseconds replyMargin { 20 };

} // namespace

Duration gatewayReplyTime(const Route& route, TimePoint now, TimePoint deadline)
{
    auto wanted = std::chrono::duration_cast<Milliseconds>(Milliseconds(route.latencyObjectiveMs) * replyTimeFraction);
    return std::min<Duration>(std::max(wanted, minReplyTime), deadline - now);
}

struct ReadForwarder::Pending {
    Pending(const asio::any_io_executor& executor, TimePoint deadline, std::shared_ptr<LateReply> late)
        : ended(executor)
        , sentAt(Clock::now())
        , deadline(deadline)
        , late(std::move(late))
    {
    }
    // Address of the gateway that was asked.
    std::string gatewayAddress;
    // The caller's id of the request.
    std::string request;
    // Cancelled by the reply.
    asio::steady_timer ended;
    TimePoint sentAt;
    TimePoint deadline;
    std::shared_ptr<LateReply> late;
    // The gateway has told that the read is running, so that its reply is waited for.
    bool running = false;
    bool givenUp = false;
    bool replied = false;
    std::optional<ForwardedReply> reply;
};

ReadForwarder::ReadForwarder(Parts parts)
    : parts(std::move(parts))
    , lastId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
{
}

asio::awaitable<tl::expected<ForwardedReply, ForwardFailure>> ReadForwarder::forward(
    ForwardedCall read, TimePoint deadline, std::shared_ptr<LateReply> late)
{
    auto self = this->shared_from_this();
    TimePoint now = Clock::now();
    auto view = this->parts.view->read();
    std::string gateway
        = this->parts.gateways->choose(*view, read.workspace, read.route.pool, GatewayUse::Repeatable, now);
    if (gateway == this->parts.instance)
        co_return tl::unexpected(ForwardFailure::OwnGateway);
    if (gateway.empty() || now >= deadline)
        co_return tl::unexpected(ForwardFailure::NotRun);
    std::uint64_t id = ++this->lastId;
    this->dropExpired(now);
    auto pending = std::make_shared<Pending>(this->parts.requests, deadline, std::move(late));
    this->pendingReads[id] = pending;
    pending->gatewayAddress = view->instances.at(gateway).peerAddress;
    pending->request = read.statement.id;
    pending->ended.expires_after(gatewayReplyTime(read.route, now, deadline));
    this->send(pending->gatewayAddress, read, id, deadline);
    co_await pending->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    if (pending->running && !pending->replied) {
        pending->ended.expires_after(std::max(Duration(0), deadline - Clock::now()));
        co_await pending->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    pending->givenUp = !pending->replied;
    if (pending->reply) {
        this->parts.gateways->recordReply(gateway);
        ++this->forwardedCount;
        co_return std::move(*pending->reply);
    }
    ++this->lostCount;
    if (pending->replied)
        this->parts.gateways->recordUnavailable(gateway, Clock::now());
    else
        this->parts.gateways->recordLost(gateway, Clock::now());
    writeLog(LogLevel::Info, "gateway_lost",
        { { "request", read.statement.id }, { "gateway", gateway }, { "replied", pending->replied ? "yes" : "no" } });
    co_return tl::unexpected(pending->replied ? ForwardFailure::NotRun : ForwardFailure::ReplyLost);
}

void ReadForwarder::send(std::string address, const ForwardedCall& read, std::uint64_t id, TimePoint deadline)
{
    auto envelope = std::make_shared<wire::Envelope>();
    wire::ReadRequest& request = *envelope->mutable_read_request();
    request.set_id(id);
    writeCall(read, std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()) - replyMargin, request);
    asio::post(this->parts.control,
        [link = this->parts.link, address = std::move(address), envelope] { link->send(address, *envelope); });
}

void ReadForwarder::receiveReply(const std::string& sender, const wire::ReadReply& message)
{
    ReplyOrigin origin { message.id(), sender, message.request(),
        { message.gateway_run(), Milliseconds(message.clock_ms()) }, message.running() };
    asio::post(this->parts.requests,
        [self = this->shared_from_this(), origin, reply = readReply(message)] { self->complete(origin, reply); });
}

void ReadForwarder::complete(const ReplyOrigin& origin, std::optional<ForwardedReply> reply)
{
    auto found = this->pendingReads.find(origin.id);
    if (found == this->pendingReads.end())
        return;
    if (found->second->request != origin.request || found->second->gatewayAddress != origin.sender) {
        writeLog(LogLevel::Warning, "foreign_reply_ignored",
            { { "sender", origin.sender }, { "request", origin.request }, { "expected", found->second->request } });
        return;
    }
    std::shared_ptr<Pending> pending = found->second;
    if (origin.running) {
        if (!std::exchange(pending->running, true))
            pending->ended.cancel();
        return;
    }
    this->pendingReads.erase(found);
    this->parts.clocks->record(origin.sender, origin.receivedAt, pending->sentAt, Clock::now());
    if (pending->givenUp) {
        pending->late->reply = std::move(reply);
        return;
    }
    pending->replied = true;
    pending->reply = std::move(reply);
    pending->ended.cancel();
}

void ReadForwarder::dropExpired(TimePoint now)
{
    std::erase_if(this->pendingReads, [now](const auto& entry) { return entry.second->deadline <= now; });
}

} // namespace catkinlock
