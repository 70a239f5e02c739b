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

    // Longest time for which the store holds a poll. A response without changes confirms the copy as of the time of the
    // request, so this bounds the age of the view while the store is reachable.
    constexpr Milliseconds storePollWait { 1000 };
    // Longest time for which a relay may hold a poll. It usually replies earlier, as soon as its own copy is confirmed.
    constexpr Milliseconds relayPollWait { 1200 };
    // A follower whose view is older than this requests an immediate reply from its relay.
    constexpr Milliseconds urgentAfter { 1800 };
    // Delay after an immediate reply without changes.
    constexpr Milliseconds urgentRetryDelay { 200 };
    // A relay that did not reply is skipped for this long.
    constexpr Milliseconds relayBackoff { 3000 };
    // After this many failed calls in a row, the store is skipped in favour of relays for `storeBackoff`.
    constexpr unsigned failuresUntilBackoff = 2;
    constexpr Milliseconds storeBackoff { 1000 };
    // Longest hold time of a poll after a failed call. Short, so that the response shows at once that the store is
    // reachable again.
    constexpr Milliseconds probeWait { 1 };
    // Delay after a change, before the next poll.
    constexpr Milliseconds batchDelay { 60 };
    // Delay after a failed call to the store; it doubles with each further failure in a row.
    constexpr Milliseconds minRetryDelay { 100 };
    constexpr Milliseconds maxRetryDelay { 800 };
    constexpr unsigned maxDoublings = 3;

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

asio::awaitable<void> StoreMirror::backOff(const std::string& message)
{
    if (!this->consecutiveFailures)
        writeLog(LogLevel::Warning, "store_lost",
            { { "reason", message },
                { "view_age_ms", fmt::format("{}", this->parts.freshness->age(this->parts.time->now()).count()) } });
    Milliseconds time
        = std::min(minRetryDelay * (1 << std::min(this->consecutiveFailures, maxDoublings)), maxRetryDelay);
    ++this->consecutiveFailures;
    // Other instances may still reach the store, so this one follows a relay for a while.
    if (this->consecutiveFailures >= failuresUntilBackoff)
        this->storeRetryAt = this->parts.time->now() + storeBackoff;
    co_await this->parts.time->sleepFor(time);
}

void StoreMirror::recordStoreReached()
{
    if (this->consecutiveFailures)
        writeLog(
            LogLevel::Info, "store_regained", { { "failed_calls", fmt::format("{}", this->consecutiveFailures) } });
    this->consecutiveFailures = 0;
}

asio::awaitable<bool> StoreMirror::load()
{
    TimePoint requestedAt = this->parts.time->now();
    auto range = co_await this->parts.store->readPrefix("");
    if (!range) {
        co_await this->backOff(range.error().message);
        co_return false;
    }
    this->recordStoreReached();
    std::int64_t before = this->copy.revision();
    if (!this->copy.replace(std::move(*range)))
        co_return false;
    if (before && !StoreRevision::sameEra(before, this->copy.revision()))
        this->learnedOfRestoreAt = this->parts.time->now();
    this->parts.freshness->confirm(requestedAt);
    this->parts.relay->restart(this->copy.revision());
    writeLog(LogLevel::Info, "store_read",
        { { "era", text(StoreRevision::fromSequence(this->copy.revision()).era) },
            { "revision", text(StoreRevision::fromSequence(this->copy.revision()).number) },
            { "keys", fmt::format("{}", this->copy.values().size()) } });
    this->hooks.changed();
    co_return true;
}

// Returns the address of the relay to poll next; empty if the store itself is to be polled.
std::string StoreMirror::selectRelay(TimePoint now) const
{
    RelayPlan plan = this->hooks.plan();
    if (plan.pollsStore && now >= this->storeRetryAt)
        return "";
    for (const std::string& address : plan.relays) {
        auto retryAt = this->relayRetryAt.find(address);
        if (retryAt == this->relayRetryAt.end() || retryAt->second <= now)
            return address;
    }
    return "";
}

// Polls the store or a relay once. Returns false if the whole store has to be read again.
asio::awaitable<bool> StoreMirror::poll()
{
    std::string address = this->selectRelay(this->parts.time->now());
    if (address.empty())
        co_return co_await this->pollStore();
    co_return co_await this->pollRelay(address);
}

void StoreMirror::skipRelay(const std::string& address)
{
    this->relayRetryAt[address] = this->parts.time->now() + relayBackoff;
    writeLog(LogLevel::Info, "relay_lost",
        { { "relay", address }, { "view_age_ms", text(this->parts.freshness->age(this->parts.time->now()).count()) } });
}

asio::awaitable<bool> StoreMirror::pollRelay(std::string address)
{
    bool urgent = this->parts.freshness->age(this->parts.time->now()) > urgentAfter;
    auto response = co_await this->parts.relay->requestChanges(
        address, this->copy.revision(), urgent ? Milliseconds(0) : relayPollWait);
    if (!response) {
        this->skipRelay(address);
        co_return true;
    }
    auto merge = this->applyChanges(response->changes, response->confirmedAt);
    if (merge == StoreCopy::Merge::Ignored)
        this->skipRelay(address);
    else if (merge == StoreCopy::Merge::Changed)
        co_await this->awaitBatch();
    else if (merge == StoreCopy::Merge::ReadAgain)
        co_await this->parts.time->sleepFor(minRetryDelay);
    else if (merge == StoreCopy::Merge::Confirmed && urgent)
        co_await this->parts.time->sleepFor(urgentRetryDelay);
    co_return merge != StoreCopy::Merge::ReadAgain;
}

asio::awaitable<bool> StoreMirror::pollStore()
{
    TimePoint requestedAt = this->parts.time->now();
    auto response = co_await this->parts.store->changesAfter(
        "", this->copy.revision(), this->consecutiveFailures ? probeWait : storePollWait);
    if (!response) {
        co_await this->backOff(response.error().message);
        co_return true;
    }
    this->recordStoreReached();
    auto merge = this->applyChanges(*response, requestedAt);
    if (merge == StoreCopy::Merge::Changed)
        co_await this->awaitBatch();
    co_return merge != StoreCopy::Merge::ReadAgain;
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
    this->parts.freshness->confirm(confirmedAt);
    this->parts.relay->append(response);
    if (merge == StoreCopy::Merge::Changed)
        this->hooks.changed();
    return merge;
}

// Changes often occur in bursts. The delay lets the next poll return several of them instead of one.
asio::awaitable<void> StoreMirror::awaitBatch() { return this->parts.time->sleepFor(batchDelay); }

} // namespace catkinlock
