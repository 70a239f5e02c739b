#include "libserver/forwarder.h"

#include "catkinlock/attempt_history.h"
#include "catkinlock/wire_convert.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <random>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Time for one attempt at a peer before another gateway is tried.
    constexpr Milliseconds attemptTimeout { 1000 };
    constexpr Milliseconds retryPause { 20 };
    // The peer's answer arrives a little after the deadline that the peer keeps to.
    constexpr Milliseconds replyGrace { 50 };

} // namespace

struct Forwarder::Pending {
    explicit Pending(asio::io_context& context)
        : timer(context)
        , result(
              tl::unexpected(unknownOutcome("gateway_silent", "the instance that serves the database did not answer")))
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
    // Ids of an earlier start must not meet those of this one.
    this->nextId = this->nextId << 32;
}

asio::awaitable<DatabaseResult> Forwarder::execute(DatabaseRequest request)
{
    auto self = this->shared_from_this();
    AttemptHistory history(!request.idempotencyKey.empty(), request.repeatable || request.readOnly);
    std::string database = request.pool + "/" + request.database;
    std::size_t turn = 0;
    for (;;) {
        auto choices = this->routing->read()->gatewaysFor(database);
        DatabaseResult result
            = tl::unexpected(notRun("no_gateway", "no instance is known that holds connections to the database"));
        if (!choices.empty())
            result = co_await this->attempt(choices[turn++ % choices.size()], request);
        result = history.add(std::move(result));
        if (!history.mayRetry() || Clock::now() + retryPause >= request.deadline)
            co_return result;
        if (turn % std::max<std::size_t>(choices.size(), 1))
            continue;
        asio::steady_timer pause(this->requests, retryPause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<DatabaseResult> Forwarder::attempt(const GatewayChoice& choice, DatabaseRequest request)
{
    if (choice.isSelf) {
        auto gateway = this->registry->find(request.pool + "/" + request.database);
        if (!gateway)
            co_return tl::unexpected(notRun("not_gateway", "this instance no longer serves the database"));
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
    TimePoint end = request.deadline;
    if (retryable)
        end = std::min(end, now + attemptTimeout);
    request.deadline = end;
    wire::Envelope envelope;
    writeRequest(request, now, *envelope.mutable_forward_request());
    std::uint64_t id = ++this->nextId;
    envelope.mutable_forward_request()->set_id(id);
    auto entry = std::make_shared<Pending>(this->control);
    this->pending[id] = entry;
    if (!this->link->send(address, envelope)) {
        this->pending.erase(id);
        co_return tl::unexpected(
            notRun("target_unreachable", "the instance that serves the database can't be reached"));
    }
    entry->timer.expires_after(end + replyGrace - Clock::now());
    co_await entry->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    this->pending.erase(id);
    co_return std::move(entry->result);
}

void Forwarder::receiveReply(const wire::ForwardReply& reply)
{
    auto found = this->pending.find(reply.id());
    // A late or doubled answer has nobody waiting for it.
    if (found == this->pending.end())
        return;
    found->second->result = readResult(reply);
    found->second->timer.cancel();
    this->pending.erase(found);
}

void Forwarder::receiveRequest(const std::string& sender, const wire::ForwardRequest& message)
{
    auto self = this->shared_from_this();
    ++this->serving;
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
    DatabaseResult result = tl::unexpected(notRun("not_gateway", "this instance does not serve the database"));
    if (gateway)
        result = co_await gateway->execute(std::move(request));
    auto envelope = std::make_shared<wire::Envelope>();
    writeResult(result, *envelope->mutable_forward_reply());
    envelope->mutable_forward_reply()->set_id(id);
    asio::post(this->control, [self, sender, envelope] {
        self->link->send(sender, *envelope);
        --self->serving;
    });
}

} // namespace catkinlock
