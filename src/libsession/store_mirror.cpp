#include "libsession/store_mirror.h"

#include "catkinlock/log.h"
#include "catkinlock/store_revision.h"
#include "libsession/spawn.h"
#include "libsession/time_source.h"
#include "libsession/view_freshness.h"
#include "libsession/view_relay.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Delay after an instance did not reply, or replied that its view is overdue.
    constexpr Milliseconds peerRetryDelay { 200 };
    // Hold time of a poll to which the response should come at once.
    constexpr Milliseconds probeWait { 1 };
    // Delay after a change, before the next poll.
    constexpr Milliseconds batchDelay { 60 };
    // Delay before the whole store is read again.
    constexpr Milliseconds readAgainDelay { 100 };
    // Attempts of one overdue period that call the store although calls to it fail; further ones leave it to the
    // ordinary poll, so that an outage does not double the calls.
    constexpr unsigned maxFailingAttempts = 3;
    // Attempts of one overdue period that ask one instance each. Further ones ask several, because most instances may
    // be cut off together, and few have a view that is not overdue.
    constexpr unsigned singleAttempts = 2;
    constexpr unsigned requestsPerFurtherAttempt = 3;

    std::string text(std::int64_t number) { return fmt::format("{}", number); }

} // namespace

StoreMirror::StoreMirror(asio::io_context& context, Parts parts, Hooks hooks)
    : context(context)
    , parts(std::move(parts))
    , hooks(std::move(hooks))
{
}

void StoreMirror::start()
{
    spawn(this->context, [self = this->shared_from_this()] { return self->run(); });
    spawn(this->context, [self = this->shared_from_this()] { return self->confirmOverdue(); });
}

asio::awaitable<void> StoreMirror::run()
{
    auto self = this->shared_from_this();
    while (!this->stopped) {
        if (!this->loaded)
            this->loaded = co_await this->load();
        else if (!co_await this->poll())
            this->loaded = false;
    }
}

Milliseconds StoreMirror::viewAge() const { return this->parts.freshness->age(this->parts.time->now()); }

void StoreMirror::recordStoreFailure(const std::string& message)
{
    if (!this->sources.storeFails())
        writeLog(LogLevel::Warning, "store_lost",
            { { "reason", message }, { "view_age_ms", text(this->viewAge().count()) } });
    this->sources.recordStoreFailure(this->parts.time->now());
    this->parts.freshness->recordStoreFailure(this->parts.time->now());
}

void StoreMirror::recordStoreReply()
{
    if (this->sources.storeFails())
        writeLog(LogLevel::Info, "store_regained", { { "failed_calls", text(this->sources.storeFailures()) } });
    this->sources.recordStoreReply();
    this->parts.freshness->recordStoreReply();
}

asio::awaitable<bool> StoreMirror::load()
{
    TimePoint requestedAt = this->parts.time->now();
    this->storeCalledAt = requestedAt;
    ++this->loads;
    auto range = co_await this->parts.store->readPrefix("");
    if (!range) {
        this->recordStoreFailure(range.error().message);
        co_await this->parts.time->sleepFor(this->sources.storeRetryDelay());
        co_return false;
    }
    this->recordStoreReply();
    std::int64_t before = this->copy.revision();
    if (!this->copy.replace(std::move(*range)))
        co_return false;
    if (before && !StoreRevision::sameEra(before, this->copy.revision()))
        this->learnedOfRestoreAt = this->parts.time->now();
    this->parts.relay->restart(this->copy.revision(), requestedAt);
    writeLog(LogLevel::Info, "store_read",
        { { "era", text(StoreRevision::fromSequence(this->copy.revision()).era) },
            { "revision", text(StoreRevision::fromSequence(this->copy.revision()).number) },
            { "keys", fmt::format("{}", this->copy.values().size()) } });
    this->hooks.changed();
    this->confirm(requestedAt);
    co_return true;
}

// Polls the store or another instance once. Returns false if the whole store has to be read again.
asio::awaitable<bool> StoreMirror::poll()
{
    auto source = this->sources.next(this->hooks.plan(), this->parts.time->now());
    this->polledPeer = source.address;
    if (source.kind == ViewSources::Source::Kind::Store)
        co_return co_await this->pollStore();
    co_return co_await this->pollPeer(source.address);
}

asio::awaitable<bool> StoreMirror::pollStore()
{
    // A held poll would confirm an overdue view, for example after the process was suspended, only at its end.
    bool urgent = this->sources.storeFails() || this->isOverdue();
    auto merge = co_await this->requestFromStore(urgent ? probeWait : this->parts.budget.storeHold);
    if (!merge)
        co_await this->parts.time->sleepFor(this->sources.storeRetryDelay());
    else if (*merge == StoreCopy::Merge::Changed)
        co_await this->awaitBatch();
    co_return merge != StoreCopy::Merge::ReadAgain;
}

asio::awaitable<bool> StoreMirror::pollPeer(std::string address)
{
    auto merge
        = co_await this->requestFromPeer(address, this->isOverdue() ? Milliseconds(0) : this->parts.budget.relayHold);
    if (merge == StoreCopy::Merge::ReadAgain) {
        co_await this->parts.time->sleepFor(readAgainDelay);
        co_return false;
    }
    // An instance whose own view is overdue doesn't reply with changes.
    bool failed = !merge || merge == StoreCopy::Merge::Ignored;
    if (failed) {
        this->sources.recordPeerFailure(address, this->parts.time->now());
        writeLog(LogLevel::Info, "relay_lost",
            { { "relay", address }, { "replied", merge ? "yes" : "no" },
                { "view_age_ms", text(this->viewAge().count()) } });
    }
    if (failed || this->isOverdue())
        co_await this->parts.time->sleepFor(peerRetryDelay);
    else if (merge == StoreCopy::Merge::Changed)
        co_await this->awaitBatch();
    co_return true;
}

// Confirms the copy by further sources whenever it is overdue.
asio::awaitable<void> StoreMirror::confirmOverdue()
{
    auto self = this->shared_from_this();
    unsigned attempt = 0;
    while (!this->stopped) {
        const ViewBudget& budget = this->parts.budget;
        Milliseconds offset(static_cast<Milliseconds::rep>(
            static_cast<double>(budget.overdueSpread.count()) * this->parts.overdueOffset));
        Milliseconds left = budget.overdueAfter + offset - this->viewAge();
        bool due = this->loaded && left < Milliseconds(0);
        if (due)
            this->requestFromFurtherSources(attempt++);
        else
            attempt = 0;
        bool soon = !due && this->loaded && left < budget.attemptTimeout;
        // Timers stand still while the machine is suspended, so the age is checked at least this often.
        co_await this->parts.time->sleepFor(soon ? left + Milliseconds(1) : budget.attemptTimeout);
    }
}

// Starts requests to the store and to another instance. The store is left out if it has just been called.
void StoreMirror::requestFromFurtherSources(unsigned attempt)
{
    TimePoint now = this->parts.time->now();
    bool asksStore = (attempt < maxFailingAttempts || !this->sources.storeFails())
        && now - this->storeCalledAt >= this->parts.budget.attemptTimeout;
    if (!attempt)
        writeLog(LogLevel::Info, "view_overdue",
            { { "view_age_ms", text(this->viewAge().count()) },
                { "polls", this->polledPeer.empty() ? "store" : this->polledPeer },
                { "asks_store", asksStore ? "yes" : "no" } });
    // The connection of an earlier attempt may have fallen silent, and with it the idle ones.
    if (asksStore && attempt)
        this->parts.store->closeIdleConnections();
    if (asksStore)
        this->requestChangesNow();
    this->requestFromPeers(attempt);
}

void StoreMirror::requestFromPeers(unsigned attempt)
{
    if (!attempt)
        this->overdueRequests = 0;
    unsigned count = attempt < singleAttempts ? 1 : requestsPerFurtherAttempt;
    for (unsigned request = 0; request < count; ++request) {
        std::string peer = this->sources.nextForOverdue(
            this->hooks.plan(), this->polledPeer, this->overdueRequests++, this->parts.time->now());
        if (peer.empty())
            return;
        spawn(this->context, [self = this->shared_from_this(), peer] {
            return self->readAgainIfNeeded(self->requestFromPeer(peer, Milliseconds(0)));
        });
    }
}

// Calls the store although calls to it have failed: an instance with a view that isn't overdue has been reached again,
// so that the store may be.
void StoreMirror::retryStore()
{
    if (this->parts.time->now() - this->storeCalledAt < this->parts.budget.attemptTimeout)
        return;
    this->parts.store->closeIdleConnections();
    this->requestChangesNow();
}

void StoreMirror::requestChangesNow()
{
    if (!this->loaded)
        return;
    spawn(this->context,
        [self = this->shared_from_this()] { return self->readAgainIfNeeded(self->requestFromStore(probeWait)); });
}

asio::awaitable<void> StoreMirror::readAgainIfNeeded(asio::awaitable<std::optional<StoreCopy::Merge>> request)
{
    auto self = this->shared_from_this();
    if (co_await std::move(request) == StoreCopy::Merge::ReadAgain)
        this->loaded = false;
}

// Returns std::nullopt if the call failed.
asio::awaitable<std::optional<StoreCopy::Merge>> StoreMirror::requestFromStore(Milliseconds wait)
{
    TimePoint requestedAt = this->parts.time->now();
    this->storeCalledAt = requestedAt;
    unsigned load = this->loads;
    auto response = co_await this->parts.store->changesAfter("", this->copy.revision(), wait);
    if (!response) {
        this->recordStoreFailure(response.error().message);
        co_return std::nullopt;
    }
    this->recordStoreReply();
    if (load != this->loads)
        co_return StoreCopy::Merge::Ignored;
    co_return this->applyChanges(*response, requestedAt);
}

// Returns std::nullopt if the instance did not reply, or can't tell what has changed.
asio::awaitable<std::optional<StoreCopy::Merge>> StoreMirror::requestFromPeer(std::string address, Milliseconds wait)
{
    unsigned load = this->loads;
    auto response = co_await this->parts.relay->requestChanges(address, this->copy.revision(), wait);
    if (!response)
        co_return std::nullopt;
    if (load != this->loads)
        co_return StoreCopy::Merge::Ignored;
    bool wasOverdue = this->isOverdue();
    auto merge = this->applyChanges(response->changes, response->confirmedAt);
    if (wasOverdue && !this->isOverdue() && this->sources.storeFails())
        this->retryStore();
    co_return merge;
}

StoreCopy::Merge StoreMirror::applyChanges(const KeyChanges& response, TimePoint confirmedAt)
{
    auto merge = this->copy.apply(response);
    if (merge == StoreCopy::Merge::ReadAgain)
        writeLog(LogLevel::Warning, "store_history_lost",
            { { "era", text(StoreRevision::fromSequence(this->copy.revision()).era) },
                { "revision", text(StoreRevision::fromSequence(this->copy.revision()).number) } });
    if (merge == StoreCopy::Merge::ReadAgain || merge == StoreCopy::Merge::Ignored)
        return merge;
    this->parts.relay->append(response, confirmedAt);
    if (merge == StoreCopy::Merge::Changed)
        this->hooks.changed();
    // The view in use counts as confirmed only once it contains the changes.
    this->confirm(confirmedAt);
    return merge;
}

void StoreMirror::confirm(TimePoint asOf)
{
    this->parts.freshness->confirm(asOf);
    this->hooks.confirmed();
}

// Changes often occur in bursts. The delay lets the next poll return several of them instead of one.
asio::awaitable<void> StoreMirror::awaitBatch() { return this->parts.time->sleepFor(batchDelay); }

} // namespace catkinlock
