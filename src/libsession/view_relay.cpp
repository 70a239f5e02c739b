#include "libsession/view_relay.h"

#include "catkinlock/peer_sender.h"
#include "catkinlock/store_revision.h"
#include "libsession/spawn.h"
#include "libsession/time_source.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <random>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Further requests are answered at once.
    constexpr std::size_t maxHeldRequests = 4096;
    // Upper bound of the hold time that a follower may request.
    constexpr std::uint32_t maxHoldMs = 5000;

} // namespace

struct ViewRelay::PendingRequest {
    explicit PendingRequest(asio::io_context& context)
        : ended(context, asio::steady_timer::time_point::max())
    {
    }
    // Cancelled when the reply has arrived or the request has timed out.
    asio::steady_timer ended;
    TimePoint sentAt;
    // The revision after which changes are requested.
    std::int64_t after = 0;
    std::optional<RelayedChanges> reply;
};

asio::awaitable<void> ViewRelay::endAfter(
    std::shared_ptr<TimeSource> time, std::shared_ptr<PendingRequest> pending, Milliseconds limit)
{
    co_await time->sleepFor(limit);
    pending->ended.cancel();
}

ViewRelay::ViewRelay(asio::io_context& context, Parts parts, Hooks hooks)
    : context(context)
    , parts(std::move(parts))
    , hooks(std::move(hooks))
    , lastRequestId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
{
}

void ViewRelay::restart(std::int64_t revision, TimePoint confirmedAt)
{
    this->logConfirmedAt = confirmedAt;
    this->log.restart(revision);
    this->replyToHeldRequests();
}

void ViewRelay::append(const KeyChanges& changes, TimePoint confirmedAt)
{
    this->logConfirmedAt = std::max(this->logConfirmedAt, confirmedAt);
    this->log.append(changes.changes, changes.revision);
    this->replyToHeldRequests();
}

Milliseconds ViewRelay::age(TimePoint now) const { return std::chrono::ceil<Milliseconds>(now - this->logConfirmedAt); }

// A relay whose own view is overdue replies that it is unavailable, so that its followers use another one.
bool ViewRelay::isOverdue(TimePoint now) const { return this->age(now) > this->parts.budget.overdueAfter; }

void ViewRelay::sendReply(const HeldRequest& request)
{
    TimePoint now = this->parts.time->now();
    bool sameEra = StoreRevision::sameEra(request.after, this->log.revision());
    auto changes = sameEra ? this->log.since(request.after) : std::nullopt;
    wire::Envelope envelope;
    wire::ChangesReply& reply = *envelope.mutable_changes_reply();
    reply.set_id(request.id);
    reply.set_revision(this->log.revision());
    auto lost = this->hooks.lostConfiguration ? this->hooks.lostConfiguration() : std::nullopt;
    if (lost) {
        reply.mutable_lost_configuration()->set_key(lost->key);
        reply.mutable_lost_configuration()->set_value(lost->value);
    }
    if (!changes || this->isOverdue(now)) {
        reply.set_unavailable(true);
        this->parts.link->send(request.sender, envelope);
        return;
    }
    // Rounded up, because a view must never appear fresher than it is.
    reply.set_confirmed_age_ms(static_cast<std::uint64_t>(this->age(now).count()));
    // Rounded down, for the same reason.
    reply.set_held_ms(static_cast<std::uint64_t>(std::chrono::floor<Milliseconds>(now - request.receivedAt).count()));
    for (const KeyValue& change : *changes) {
        wire::TableEntry& entry = *reply.add_changes();
        entry.set_key(change.key);
        entry.set_value(change.value);
        entry.set_revision(change.revision);
        entry.set_deleted(change.deleted);
    }
    this->parts.link->send(request.sender, envelope);
}

void ViewRelay::replyToHeldRequests()
{
    for (const HeldRequest& request : std::exchange(this->heldRequests, {}))
        this->sendReply(request);
}

void ViewRelay::receiveRequest(const std::string& sender, const wire::ChangesRequest& request)
{
    TimePoint now = this->parts.time->now();
    Milliseconds wait(std::min(request.wait_ms(), maxHoldMs));
    HeldRequest held { sender, request.id(), request.after_revision(), now, now + wait };
    bool otherEra = !StoreRevision::sameEra(held.after, this->log.revision());
    bool hasChanges = this->log.revision() > held.after;
    if (hasChanges || otherEra || !wait.count() || this->isOverdue(now) || this->heldRequests.size() >= maxHeldRequests)
        return this->sendReply(held);
    this->heldRequests.push_back(held);
    if (this->heldRequests.size() > 1)
        return;
    // Later requests get their reply when the first one's wait is over, or earlier with the next confirmation.
    spawn(this->context, [self = this->shared_from_this(), wait] { return self->replyAfter(wait); });
}

asio::awaitable<void> ViewRelay::replyAfter(Milliseconds wait)
{
    auto self = this->shared_from_this();
    co_await this->parts.time->sleepFor(wait);
    if (!this->heldRequests.empty() && this->heldRequests.front().until <= this->parts.time->now())
        this->replyToHeldRequests();
}

void ViewRelay::receiveReply(const wire::ChangesReply& reply)
{
    auto found = this->pendingRequests.find(reply.id());
    if (found == this->pendingRequests.end())
        return;
    std::shared_ptr<PendingRequest> pending = found->second;
    this->pendingRequests.erase(found);
    if (reply.has_lost_configuration() && this->hooks.learn)
        this->hooks.learn({ reply.lost_configuration().key(), reply.lost_configuration().value(), 0, false });
    RelayedChanges relayed;
    bool isLaterEra = reply.revision() > pending->after && !StoreRevision::sameEra(reply.revision(), pending->after);
    if (isLaterEra) {
        relayed.changes.historyLost = true;
        pending->reply = std::move(relayed);
    } else if (!reply.unavailable()) {
        relayed.changes.revision = reply.revision();
        for (const wire::TableEntry& entry : reply.changes())
            relayed.changes.changes.push_back({ entry.key(), entry.value(), entry.revision(), entry.deleted() });
        // The relay received the request after it was sent and measured the age after it had held the request, so this
        // never makes the confirmation look later than it was.
        relayed.confirmedAt = pending->sentAt + Milliseconds(reply.held_ms()) - Milliseconds(reply.confirmed_age_ms());
        pending->reply = std::move(relayed);
    }
    pending->ended.cancel();
}

asio::awaitable<std::optional<RelayedChanges>> ViewRelay::requestChanges(
    std::string address, std::int64_t after, Milliseconds wait)
{
    auto self = this->shared_from_this();
    auto pending = std::make_shared<PendingRequest>(this->context);
    pending->sentAt = this->parts.time->now();
    pending->after = after;
    std::uint64_t id = ++this->lastRequestId;
    this->pendingRequests[id] = pending;
    wire::Envelope envelope;
    wire::ChangesRequest& request = *envelope.mutable_changes_request();
    request.set_id(id);
    request.set_after_revision(after);
    request.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
    if (this->parts.link->send(address, envelope)) {
        spawn(this->context, [time = this->parts.time, pending, limit = wait + this->parts.budget.attemptTimeout] {
            return endAfter(time, pending, limit);
        });
        co_await pending->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    this->pendingRequests.erase(id);
    co_return pending->reply;
}

} // namespace catkinlock
