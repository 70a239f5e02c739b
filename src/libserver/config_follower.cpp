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

    // Interval at which a loaded follower checks whether it has become a relay or its tables are stale.
    constexpr Milliseconds followerCheckInterval { 250 };
    // A watch that delivers nothing for this long is opened again.
    constexpr Milliseconds watchTimeout { 60000 };
    // Interval at which a relay confirms that its tables are current.
    constexpr Milliseconds confirmInterval { 1000 };
    // Time allowed for the watch to deliver a known edit before the tables are read directly.
    constexpr Milliseconds watchDeliveryGrace { 500 };
    // Backoff between failed reads of the platform. For instances that are not relays it doubles up to the maximum, so
    // that a large fleet does not overload a platform that is failing or recovering.
    constexpr Milliseconds minReadBackoff { 500 };
    constexpr Milliseconds maxReadBackoff { 30000 };

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
    Milliseconds readBackoff = minReadBackoff;
    while (!this->stopped) {
        bool isRelay = this->hooks.isRelay();
        bool stale = Clock::now() - this->freshness->confirmed() > ConfigFreshness::staleAfter;
        if (this->loaded && !isRelay && !stale) {
            readBackoff = minReadBackoff;
            co_await this->sleep(followerCheckInterval);
            continue;
        }
        bool succeeded = false;
        if (this->loaded && !isRelay)
            succeeded = co_await this->confirm();
        else
            succeeded = co_await this->load();
        if (succeeded) {
            readBackoff = minReadBackoff;
            if (isRelay)
                co_await this->watch();
            continue;
        }
        double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(random);
        co_await this->sleep(std::chrono::duration_cast<Milliseconds>(readBackoff * jitter));
        if (!isRelay)
            readBackoff = std::min(readBackoff * 2, maxReadBackoff);
    }
}

std::vector<TableEntry> ConfigFollower::toEntries(const std::vector<KeyValue>& values) const
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
    TimePoint requestedAt = Clock::now();
    auto range = co_await this->platform->readPrefix(tablePrefix);
    if (!range) {
        writeLog(LogLevel::Warning, "platform_unreachable", { { "detail", range.error().message } });
        co_return false;
    }
    if (range->revision < this->revision()) {
        // Tables older than those in force are never applied, since that would undo accepted edits.
        writeLog(LogLevel::Warning, "platform_behind", { { "revision", fmt::format("{}", range->revision) } });
        co_return false;
    }
    std::vector<TableEntry> entries = this->toEntries(range->values);
    // Entries in force that the platform no longer lists have been deleted in the meantime.
    auto current = this->tables->read();
    for (const auto& [key, held] : current->entries) {
        bool present = std::any_of(
            entries.begin(), entries.end(), [&key = key](const TableEntry& entry) { return entry.key == key; });
        if (!present && !held.deleted)
            entries.push_back({ key, "", range->revision, true });
    }
    this->installEntries(range->revision, entries);
    this->freshness->recordConfirmed(requestedAt);
    co_return true;
}

asio::awaitable<void> ConfigFollower::watch()
{
    auto self = this->shared_from_this();
    auto onChanges = [self](std::int64_t revision, const std::vector<KeyValue>& changes) {
        if (!changes.empty())
            self->installEntries(revision, self->toEntries(changes));
    };
    PlatformError end = co_await this->platform->watch(tablePrefix, this->revision() + 1, watchTimeout, onChanges);
    if (!this->stopped)
        writeLog(LogLevel::Warning, "watch_ended", { { "detail", end.message } });
}

// Checks that the tables are current. A watch that delivers nothing may be idle or broken, so this reads the revision
// of the last edit, and reads all tables if the watch has not delivered that edit in time. False if the platform could
// not be read.
asio::awaitable<bool> ConfigFollower::confirm()
{
    TimePoint requestedAt = Clock::now();
    auto edited = co_await this->platform->read(tablesEditedKey);
    if (!edited)
        co_return false;
    std::int64_t newest = *edited ? (*edited)->revision : 0;
    if (newest > this->revision())
        co_await this->sleep(watchDeliveryGrace);
    if (newest > this->revision())
        co_return co_await this->load();
    this->freshness->recordConfirmed(requestedAt);
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

void ConfigFollower::installEntries(std::int64_t revision, const std::vector<TableEntry>& entries)
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

bool ConfigFollower::recordPeerRevision(std::int64_t peerRevision, std::optional<TimePoint> confirmedAsOf)
{
    if (peerRevision > this->revision())
        return true;
    // These tables are the same as the peer's or newer, so the confirmation of the peer's tables holds for them too.
    if (confirmedAsOf && this->loaded)
        this->freshness->recordConfirmed(*confirmedAsOf);
    return false;
}

wire::TableUpdate ConfigFollower::makeUpdate(const wire::TableRequest& request) const
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

void ConfigFollower::receiveUpdate(const wire::TableUpdate& update)
{
    // An update that starts after the revision in force would leave a gap; one that is not newer has no effect.
    if (update.since_revision() > this->revision() || update.revision() <= this->revision())
        return;
    std::vector<TableEntry> entries;
    for (const wire::TableEntry& entry : update.entries())
        entries.push_back(readEntry(entry));
    this->installEntries(update.revision(), entries);
}

} // namespace catkinlock
