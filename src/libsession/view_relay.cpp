#include "libsession/view_relay.h"

#include "catkinlock/peer_link.h"
#include "libsession/view_freshness.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <random>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // An instance whose own view is older than this sends its followers elsewhere.
    constexpr Milliseconds oldestAnswer { 3200 };
    // What an answer may take on its way.
    constexpr Milliseconds travelTime { 300 };
    constexpr std::size_t mostHeld = 4096;
    constexpr std::uint32_t longestHoldMs = 5000;

} // namespace

struct ViewRelay::Asked {
    explicit Asked(asio::io_context& context)
        : timer(context)
    {
    }
    asio::steady_timer timer;
    TimePoint askedAt;
    std::optional<RelayedChanges> answer;
};

ViewRelay::ViewRelay(
    asio::io_context& context, std::shared_ptr<PeerLink> link, std::shared_ptr<ViewFreshness> freshness)
    : context(context)
    , link(std::move(link))
    , freshness(std::move(freshness))
    , holdTimer(context)
    , lastId(static_cast<std::uint64_t>(std::random_device {}()) << 32)
{
}

void ViewRelay::restart(std::int64_t revision)
{
    this->log.restart(revision);
    this->answerHeld();
}

void ViewRelay::append(const KeyChanges& changes)
{
    this->log.append(changes.changes, changes.revision);
    this->answerHeld();
}

bool ViewRelay::mayAnswer(TimePoint now) const { return this->freshness->age(now) < oldestAnswer; }

void ViewRelay::answer(const Held& request)
{
    TimePoint now = Clock::now();
    auto changes = this->log.since(request.after);
    wire::Envelope envelope;
    wire::ChangesReply& reply = *envelope.mutable_changes_reply();
    reply.set_id(request.id);
    if (!changes || !this->mayAnswer(now)) {
        reply.set_unavailable(true);
        this->link->send(request.sender, envelope);
        return;
    }
    reply.set_revision(this->log.revision());
    // Rounded up: a confirmation may only look older than it is.
    reply.set_confirmed_age_ms(static_cast<std::uint64_t>(this->freshness->age(now).count()) + 1);
    for (const KeyValue& change : *changes) {
        wire::TableEntry& entry = *reply.add_changes();
        entry.set_key(change.key);
        entry.set_value(change.value);
        entry.set_revision(change.revision);
        entry.set_deleted(change.deleted);
    }
    this->link->send(request.sender, envelope);
}

void ViewRelay::answerHeld()
{
    for (const Held& request : std::exchange(this->held, {}))
        this->answer(request);
}

void ViewRelay::receiveRequest(const std::string& sender, const wire::ChangesRequest& request)
{
    TimePoint now = Clock::now();
    Milliseconds wait(std::min(request.wait_ms(), longestHoldMs));
    Held asker { sender, request.id(), request.after_revision(), now + wait };
    bool hasNews = this->log.revision() > asker.after;
    if (hasNews || !wait.count() || !this->mayAnswer(now) || this->held.size() >= mostHeld)
        return this->answer(asker);
    this->held.push_back(asker);
    if (this->held.size() > 1)
        return;
    // Those that come later wait for the first one's time or the next confirmation.
    this->holdTimer.expires_after(wait);
    this->holdTimer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
        auto self = weak.lock();
        if (!error && self)
            self->answerHeld();
    });
}

void ViewRelay::receiveReply(const wire::ChangesReply& reply)
{
    auto found = this->asked.find(reply.id());
    if (found == this->asked.end())
        return;
    std::shared_ptr<Asked> asked = found->second;
    this->asked.erase(found);
    if (!reply.unavailable()) {
        RelayedChanges answer;
        answer.changes.revision = reply.revision();
        for (const wire::TableEntry& entry : reply.changes())
            answer.changes.changes.push_back({ entry.key(), entry.value(), entry.revision(), entry.deleted() });
        // The answer left after the question, so it was confirmed this long before that at the most.
        answer.confirmedAt = asked->askedAt - Milliseconds(reply.confirmed_age_ms());
        asked->answer = std::move(answer);
    }
    asked->timer.cancel();
}

asio::awaitable<std::optional<RelayedChanges>> ViewRelay::ask(
    std::string address, std::int64_t after, Milliseconds wait)
{
    auto self = this->shared_from_this();
    auto pending = std::make_shared<Asked>(this->context);
    pending->askedAt = Clock::now();
    std::uint64_t id = ++this->lastId;
    this->asked[id] = pending;
    wire::Envelope envelope;
    wire::ChangesRequest& request = *envelope.mutable_changes_request();
    request.set_id(id);
    request.set_after_revision(after);
    request.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
    pending->timer.expires_after(wait + travelTime);
    bool sent = this->link->send(address, envelope);
    if (sent)
        co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    this->asked.erase(id);
    co_return pending->answer;
}

} // namespace catkinlock
