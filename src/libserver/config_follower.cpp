#include "libserver/config_follower.h"

#include "catkinlock/log.h"
#include "catkinlock/wire_convert.h"
#include "peer.pb.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <fmt/format.h>
#include <random>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds followInterval { 250 };
    constexpr Milliseconds watchSilence { 60000 };
    constexpr Milliseconds confirmInterval { 1000 };
    // Time for a watch to deliver an edit before a relay reads the tables itself.
    constexpr Milliseconds deliveryTime { 500 };
    // Pauses between own reads of the platform, while nobody confirms the tables. They double, so that a fleet that has
    // lost the platform does not storm it.
    constexpr Milliseconds firstReadPause { 500 };
    constexpr Milliseconds longestReadPause { 30000 };

} // namespace

ConfigFollower::ConfigFollower(asio::io_context& context, std::shared_ptr<PlatformClient> platform,
    std::shared_ptr<RcuSnapshot<Tables>> tables, std::shared_ptr<ConfigFreshness> freshness, Hooks hooks)
    : context(context)
    , platform(std::move(platform))
    , tables(std::move(tables))
    , freshness(std::move(freshness))
    , hooks(std::move(hooks))
{
}

void ConfigFollower::start()
{
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->context, [self] { return self->follow(); }, asio::detached);
    asio::co_spawn(
        this->context, [self] { return self->confirmAsRelay(); }, asio::detached);
}

asio::awaitable<void> ConfigFollower::sleep(Milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> ConfigFollower::follow()
{
    auto self = this->shared_from_this();
    std::minstd_rand random(std::random_device {}());
    Milliseconds readPause = firstReadPause;
    while (!this->stopped) {
        bool relays = this->hooks.isRelay();
        bool stale = Clock::now() - this->freshness->confirmed() > ConfigFreshness::staleAfter;
        if (this->loaded && !relays && !stale) {
            readPause = firstReadPause;
            co_await this->sleep(followInterval);
            continue;
        }
        bool reached = false;
        if (this->loaded && !relays)
            reached = co_await this->confirm();
        else
            reached = co_await this->load();
        if (reached) {
            readPause = firstReadPause;
            if (relays)
                co_await this->watch();
            continue;
        }
        double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random);
        co_await this->sleep(std::chrono::duration_cast<Milliseconds>(readPause * spread));
        if (!relays)
            readPause = std::min(readPause * 2, longestReadPause);
    }
}

std::vector<TableEntry> ConfigFollower::entriesOf(const std::vector<KeyValue>& values) const
{
    std::vector<TableEntry> entries;
    entries.reserve(values.size());
    std::size_t prefixLength = std::string_view(tablePrefix).size();
    for (const KeyValue& value : values)
        entries.push_back({ value.key.substr(prefixLength), value.value, value.revision, value.deleted });
    return entries;
}

asio::awaitable<bool> ConfigFollower::load()
{
    TimePoint askedAt = Clock::now();
    auto range = co_await this->platform->readPrefix(tablePrefix);
    if (!range) {
        writeLog(LogLevel::Warning, "platform_unreachable", { { "detail", range.error().message } });
        co_return false;
    }
    if (range->revision < this->revision()) {
        // An older picture than the one in force is never taken.
        writeLog(LogLevel::Warning, "platform_behind", { { "revision", fmt::format("{}", range->revision) } });
        co_return false;
    }
    std::vector<TableEntry> entries = this->entriesOf(range->values);
    // What this instance still has and the picture lacks was deleted meanwhile.
    auto current = this->tables->read();
    for (const auto& [key, held] : current->entries) {
        bool present = std::any_of(
            entries.begin(), entries.end(), [&key = key](const TableEntry& entry) { return entry.key == key; });
        if (!present && !held.deleted)
            entries.push_back({ key, "", range->revision, true });
    }
    this->accept(range->revision, entries);
    this->freshness->noteConfirmed(askedAt);
    co_return true;
}

asio::awaitable<void> ConfigFollower::watch()
{
    auto self = this->shared_from_this();
    auto onAnswer = [self](std::int64_t revision, const std::vector<KeyValue>& changes) {
        if (!changes.empty())
            self->accept(revision, self->entriesOf(changes));
    };
    PlatformError end = co_await this->platform->watch(tablePrefix, this->revision() + 1, watchSilence, onAnswer);
    if (!this->stopped)
        writeLog(LogLevel::Warning, "watch_ended", { { "detail", end.message } });
}

// A watch that says nothing may be quiet or broken; a small read of the last edit's revision tells. False if the
// platform does not answer.
asio::awaitable<bool> ConfigFollower::confirm()
{
    TimePoint askedAt = Clock::now();
    auto edited = co_await this->platform->read(tablesEditedKey);
    if (!edited)
        co_return false;
    std::int64_t newest = *edited ? (*edited)->revision : 0;
    if (newest > this->revision())
        co_await this->sleep(deliveryTime);
    if (newest > this->revision())
        co_return co_await this->load();
    this->freshness->noteConfirmed(askedAt);
    co_return true;
}

asio::awaitable<void> ConfigFollower::confirmAsRelay()
{
    auto self = this->shared_from_this();
    while (!this->stopped) {
        co_await this->sleep(confirmInterval);
        if (this->loaded && this->hooks.isRelay())
            co_await this->confirm();
    }
}

void ConfigFollower::accept(std::int64_t revision, const std::vector<TableEntry>& entries)
{
    auto before = this->tables->read();
    std::vector<Error> rejected;
    Tables after = applyEntries(*before, revision, entries, rejected);
    for (const Error& error : rejected)
        writeLog(LogLevel::Error, "table_entry_rejected", { { "detail", error.message } });
    bool first = !this->loaded;
    this->loaded = true;
    if (!first && after == *before)
        return;
    bool changed = first || after.entries != before->entries;
    this->tables->replace(after);
    if (!changed)
        return;
    writeLog(LogLevel::Info, "tables_in_force", { { "revision", fmt::format("{}", after.revision) } });
    this->hooks.changed(after);
}

bool ConfigFollower::notePeer(std::int64_t peerRevision, std::optional<TimePoint> confirmedAsOf)
{
    if (peerRevision > this->revision())
        return true;
    // What confirms the peer's tables confirms these, which are the same or newer.
    if (confirmedAsOf && this->loaded)
        this->freshness->noteConfirmed(*confirmedAsOf);
    return false;
}

wire::TableUpdate ConfigFollower::answer(const wire::TableRequest& request) const
{
    auto current = this->tables->read();
    wire::TableUpdate update;
    update.set_since_revision(request.since_revision());
    update.set_revision(current->revision);
    for (const auto& [key, entry] : current->entries) {
        if (entry.revision > request.since_revision())
            writeEntry(entry, *update.add_entries());
    }
    return update;
}

void ConfigFollower::receive(const wire::TableUpdate& update)
{
    // An update that starts after what this instance has would leave a gap.
    if (update.since_revision() > this->revision() || update.revision() <= this->revision())
        return;
    std::vector<TableEntry> entries;
    for (const wire::TableEntry& entry : update.entries())
        entries.push_back(readEntry(entry));
    this->accept(update.revision(), entries);
}

} // namespace catkinlock
