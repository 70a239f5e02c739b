#include "libserver/forwarder.h"

#include "catkinlock/attempt_history.h"
#include "catkinlock/wire_convert.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <random>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Time limit of one attempt at a peer, after which another gateway is tried. Applies to retryable requests only.
    constexpr Milliseconds attemptTimeout { 1000 };
    // Delay before the next attempt after all known gateways were tried once.
    constexpr Milliseconds retryDelay { 20 };
    // The peer works until the deadline, so its reply may arrive this much later.
    constexpr Milliseconds replyGracePeriod { 50 };

} // namespace

// A forwarded request that awaits its reply. `result` is an unknown outcome unless the reply arrives before `timer`
// expires.
struct Forwarder::PendingReply {
    explicit PendingReply(asio::io_context& context)
        : timer(context)
        , result(tl::unexpected(unknownOutcome("gateway_silent",
              "the instance that serves the database did not reply in time; the request may have taken effect")))
    {
    }
    asio::steady_timer timer;
    DatabaseResult result;
};

Forwarder::Forwarder(asio::io_context& control, asio::any_io_executor requests, std::shared_ptr<PeerLink> link,
    std::shared_ptr<GatewayRegistry> registry, std::shared_ptr<RcuSnapshot<RoutingView>> routing)
    : control(control)
    , requests(std::move(requests))
    , link(std::move(link))
    , registry(std::move(registry))
    , routing(std::move(routing))
    , nextId(std::random_device {}())
{
    // Starts at a random multiple of 2^32, so that a late reply to a request of an earlier start matches no request of
    // this one.
    this->nextId = this->nextId << 32;
}

asio::awaitable<DatabaseResult> Forwarder::execute(DatabaseRequest request)
{
    auto self = this->shared_from_this();
    AttemptHistory history(!request.idempotencyKey.empty(), request.repeatable || request.readOnly);
    std::string database = request.pool + "/" + request.database;
    std::size_t nextChoice = 0;
    for (;;) {
        auto choices = this->routing->read()->gatewaysFor(database);
        DatabaseResult result
            = tl::unexpected(notRun("no_gateway", "no gateway of the database is known to this instance"));
        if (!choices.empty())
            result = co_await this->attempt(choices[nextChoice++ % choices.size()], request);
        result = history.add(std::move(result));
        if (!history.mayRetry() || Clock::now() + retryDelay >= request.deadline)
            co_return result;
        if (nextChoice % std::max<std::size_t>(choices.size(), 1))
            continue;
        asio::steady_timer retryTimer(this->requests, retryDelay);
        co_await retryTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<DatabaseResult> Forwarder::attempt(const GatewayChoice& choice, DatabaseRequest request)
{
    if (choice.isSelf) {
        auto gateway = this->registry->find(request.pool + "/" + request.database);
        if (!gateway)
            co_return tl::unexpected(notRun("not_gateway", "this instance is no longer a gateway of the database"));
        co_return co_await gateway->execute(std::move(request));
    }
    auto self = this->shared_from_this();
    std::string address = choice.address;
    auto send = [self, address, &request] { return self->sendToPeer(address, std::move(request)); };
    co_return co_await asio::co_spawn(this->control, send, asio::use_awaitable);
}

asio::awaitable<DatabaseResult> Forwarder::sendToPeer(std::string address, DatabaseRequest request)
{
    bool retryable = !request.idempotencyKey.empty() || request.repeatable || request.readOnly;
    TimePoint now = Clock::now();
    TimePoint attemptDeadline = request.deadline;
    if (retryable)
        attemptDeadline = std::min(attemptDeadline, now + attemptTimeout);
    request.deadline = attemptDeadline;
    wire::Envelope envelope;
    writeRequest(request, now, *envelope.mutable_forward_request());
    std::uint64_t id = ++this->nextId;
    envelope.mutable_forward_request()->set_id(id);
    auto entry = std::make_shared<PendingReply>(this->control);
    this->pending[id] = entry;
    if (!this->link->send(address, envelope)) {
        this->pending.erase(id);
        co_return tl::unexpected(
            notRun("target_unreachable", "the message to the instance that serves the database could not be sent"));
    }
    entry->timer.expires_after(attemptDeadline + replyGracePeriod - Clock::now());
    co_await entry->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    this->pending.erase(id);
    co_return std::move(entry->result);
}

void Forwarder::receiveReply(const wire::ForwardReply& reply)
{
    auto found = this->pending.find(reply.id());
    // A late or duplicate reply belongs to no pending request.
    if (found == this->pending.end())
        return;
    found->second->result = readResult(reply);
    found->second->timer.cancel();
    this->pending.erase(found);
}

void Forwarder::receiveRequest(const std::string& sender, const wire::ForwardRequest& message)
{
    auto self = this->shared_from_this();
    ++this->peerRequests;
    asio::co_spawn(
        this->requests,
        [self, sender, id = message.id(), request = readRequest(message, Clock::now())] {
            return self->serve(sender, id, request);
        },
        asio::detached);
}

asio::awaitable<void> Forwarder::serve(std::string sender, std::uint64_t id, DatabaseRequest request)
{
    auto self = this->shared_from_this();
    auto gateway = this->registry->find(request.pool + "/" + request.database);
    DatabaseResult result = tl::unexpected(notRun("not_gateway", "this instance is not a gateway of the database"));
    if (gateway)
        result = co_await gateway->execute(std::move(request));
    auto envelope = std::make_shared<wire::Envelope>();
    writeResult(result, *envelope->mutable_forward_reply());
    envelope->mutable_forward_reply()->set_id(id);
    asio::post(this->control, [self, sender, envelope] {
        self->link->send(sender, *envelope);
        --self->peerRequests;
    });
}

} // namespace catkinlock
