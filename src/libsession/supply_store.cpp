#include "libsession/supply_store.h"

#include "catkinlock/store_revision.h"
#include <algorithm>

namespace catkinlock::simulation {

namespace {

    constexpr std::int64_t revisionAtStart = 100;

    KeyValue valueOf(const Version& version)
    {
        return { SupplyStore::key, std::to_string(version.revision), version.revision, false };
    }

} // namespace

SupplyStore::SupplyStore(VirtualTime& time)
    : time(time)
    , firstRevision(revisionAtStart)
{
    this->add(revisionAtStart, Duration(0));
}

void SupplyStore::add(std::int64_t nextRevision, Duration acknowledgement)
{
    this->revision = nextRevision;
    Milliseconds now = this->time.elapsed();
    this->written.push_back(
        { nextRevision, now, now + std::chrono::ceil<Milliseconds>(acknowledgement), std::nullopt });
}

void SupplyStore::write(Duration acknowledgement)
{
    this->add(this->revision + 1, acknowledgement);
    this->replyToPolls();
}

void SupplyStore::restore(Milliseconds age)
{
    Milliseconds now = this->time.elapsed();
    // The first version of the present era is kept in any case.
    std::optional<std::int64_t> kept;
    for (Version& version : this->written) {
        if (!StoreRevision::sameEra(version.revision, this->revision))
            continue;
        if (kept && version.writtenAt > now - age)
            version.lostAt = now;
        else
            kept = version.revision;
    }
    StoreRevision restored = StoreRevision::fromSequence(kept.value_or(this->revision));
    restored.era = StoreRevision::fromSequence(this->revision).era + 1;
    this->add(restored.sequence(), Duration(0));
    this->firstRevision = this->revision;
    this->replyToPolls();
}

bool SupplyStore::hasHistoryAfter(std::int64_t after) const { return after >= this->firstRevision; }

KeyChanges SupplyStore::changesAfter(std::int64_t after) const
{
    KeyChanges changes;
    changes.historyLost = !this->hasHistoryAfter(after);
    if (changes.historyLost)
        return changes;
    changes.revision = this->revision;
    for (const Version& version : this->written) {
        if (version.revision > after)
            changes.changes.push_back(valueOf(version));
    }
    return changes;
}

void SupplyStore::receive(const SupplyRequest& request, Reply reply)
{
    SupplyAnswer answer;
    if (!request.after) {
        answer.range = { this->revision, { valueOf(this->written.back()) } };
        return reply(answer);
    }
    if (!this->hasHistoryAfter(*request.after) || *request.after < this->revision) {
        answer.changes = this->changesAfter(*request.after);
        return reply(answer);
    }
    this->hold(request, std::move(reply));
}

void SupplyStore::hold(const SupplyRequest& request, Reply reply)
{
    // The reply at the end of the wait does nothing if the call was answered before.
    this->time.at(this->time.now() + request.wait, [this, reply, after = *request.after] {
        SupplyAnswer answer;
        answer.changes = this->changesAfter(after);
        reply(answer);
    });
    this->polls.push_back({ *request.after, std::move(reply) });
}

void SupplyStore::replyToPolls()
{
    for (const Poll& poll : std::exchange(this->polls, {})) {
        SupplyAnswer answer;
        answer.changes = this->changesAfter(poll.after);
        poll.reply(answer);
    }
}

} // namespace catkinlock::simulation
