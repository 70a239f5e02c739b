#include "libsession/store_mirror.h"

#include "catkinlock/log.h"
#include "libsession/spawn.h"
#include "libsession/view_freshness.h"
#include "libsession/view_relay.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // An answer without changes confirms the copy as of the question, so this bounds how old a confirmed view gets.
    constexpr Milliseconds pollWait { 1000 };
    // A relay answers sooner, when its own copy is confirmed.
    constexpr Milliseconds relayWait { 1200 };
    // A follower whose view is older than this asks for an answer at once.
    constexpr Milliseconds hurryAfter { 1800 };
    constexpr Milliseconds hurryPause { 200 };
    constexpr Milliseconds avoidRelayFor { 3000 };
    constexpr unsigned failuresUntilAvoided = 2;
    constexpr Milliseconds avoidStoreFor { 1000 };
    // A store that was lost is asked for an answer at once.
    constexpr Milliseconds probeWait { 1 };
    constexpr Milliseconds gatherTime { 60 };
    constexpr Milliseconds firstPause { 100 };
    constexpr Milliseconds longestPause { 800 };
    constexpr unsigned mostDoublings = 3;

} // namespace

StoreMirror::StoreMirror(asio::io_context& context, std::shared_ptr<PolledStore> store,
    std::shared_ptr<ViewRelay> relay, std::shared_ptr<ViewFreshness> freshness, Hooks hooks)
    : context(context)
    , store(std::move(store))
    , freshness(std::move(freshness))
    , relay(std::move(relay))
    , hooks(std::move(hooks))
{
}

void StoreMirror::start()
{
    spawn(this->context, [self = this->shared_from_this()] { return self->follow(); });
}

asio::awaitable<void> StoreMirror::follow()
{
    auto self = this->shared_from_this();
    while (!this->stopped) {
        if (!this->loaded)
            this->loaded = co_await this->load();
        else if (!co_await this->poll())
            this->loaded = false;
    }
}

asio::awaitable<void> StoreMirror::pauseAfterFailure(const std::string& message)
{
    if (!this->failures)
        writeLog(LogLevel::Warning, "store_lost",
            { { "reason", message },
                { "view_age_ms", fmt::format("{}", this->freshness->age(Clock::now()).count()) } });
    Milliseconds time = std::min(firstPause * (1 << std::min(this->failures, mostDoublings)), longestPause);
    ++this->failures;
    // Others may reach it meanwhile.
    if (this->failures >= failuresUntilAvoided)
        this->storeAvoidedUntil = Clock::now() + avoidStoreFor;
    co_await this->pause(time);
}

void StoreMirror::noteReached()
{
    if (this->failures)
        writeLog(LogLevel::Info, "store_regained", { { "failed_calls", fmt::format("{}", this->failures) } });
    this->failures = 0;
}

asio::awaitable<bool> StoreMirror::load()
{
    TimePoint askedAt = Clock::now();
    auto range = co_await this->store->readPrefix("");
    if (!range) {
        co_await this->pauseAfterFailure(range.error().message);
        co_return false;
    }
    this->noteReached();
    std::map<std::string, KeyValue> next;
    for (KeyValue& value : range->values)
        next[value.key] = std::move(value);
    this->copy = std::move(next);
    this->seen = range->revision;
    this->freshness->confirm(askedAt);
    this->relay->restart(this->seen);
    writeLog(LogLevel::Info, "store_read",
        { { "revision", fmt::format("{}", this->seen) }, { "keys", fmt::format("{}", this->copy.size()) } });
    this->hooks.changed();
    co_return true;
}

void StoreMirror::apply(const KeyValue& change)
{
    auto held = this->copy.find(change.key);
    if (held != this->copy.end() && held->second.revision >= change.revision)
        return;
    if (change.deleted)
        this->copy.erase(change.key);
    else
        this->copy[change.key] = change;
}

// The relay to ask now; empty if the store is to be asked.
std::string StoreMirror::relayToFollow(TimePoint now) const
{
    RelayPlan plan = this->hooks.plan();
    if (plan.asksStore && now >= this->storeAvoidedUntil)
        return "";
    for (const std::string& address : plan.relays) {
        auto avoided = this->avoidedUntil.find(address);
        if (avoided == this->avoidedUntil.end() || avoided->second <= now)
            return address;
    }
    return "";
}

// False if the copy has to be read afresh.
asio::awaitable<bool> StoreMirror::poll()
{
    std::string address = this->relayToFollow(Clock::now());
    if (address.empty())
        co_return co_await this->pollStore();
    bool followed = co_await this->followRelay(address);
    if (!followed) {
        this->avoidedUntil[address] = Clock::now() + avoidRelayFor;
        writeLog(LogLevel::Info, "relay_lost",
            { { "relay", address }, { "view_age_ms", fmt::format("{}", this->freshness->age(Clock::now()).count()) } });
    }
    co_return true;
}

asio::awaitable<bool> StoreMirror::followRelay(std::string address)
{
    bool hurry = this->freshness->age(Clock::now()) > hurryAfter;
    auto answer = co_await this->relay->ask(address, this->seen, hurry ? Milliseconds(0) : relayWait);
    if (!answer)
        co_return false;
    bool news = this->takeIn(answer->changes, answer->confirmedAt);
    if (news)
        co_await this->gather();
    else if (hurry)
        co_await this->pause(hurryPause);
    co_return true;
}

asio::awaitable<bool> StoreMirror::pollStore()
{
    TimePoint askedAt = Clock::now();
    auto answer = co_await this->store->changesAfter("", this->seen, this->failures ? probeWait : pollWait);
    if (!answer) {
        co_await this->pauseAfterFailure(answer.error().message);
        co_return true;
    }
    this->noteReached();
    if (answer->historyLost) {
        writeLog(LogLevel::Warning, "store_history_lost", { { "revision", fmt::format("{}", this->seen) } });
        co_return false;
    }
    if (this->takeIn(*answer, askedAt))
        co_await this->gather();
    co_return true;
}

// True if there was a change.
bool StoreMirror::takeIn(const KeyChanges& answer, TimePoint confirmedAt)
{
    for (const KeyValue& change : answer.changes)
        this->apply(change);
    this->seen = std::max(this->seen, answer.revision);
    this->freshness->confirm(confirmedAt);
    this->relay->append(answer);
    if (answer.changes.empty())
        return false;
    this->hooks.changed();
    return true;
}

// Changes often come together; each call would bring one of them.
asio::awaitable<void> StoreMirror::gather() { return this->pause(gatherTime); }

asio::awaitable<void> StoreMirror::pause(Milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace catkinlock
