#include "libsession/view_supply_simulation.h"

#include <algorithm>
#include <ostream>

namespace catkinlock::simulation {

namespace {

    constexpr Milliseconds callWindow { 1000 };

    struct Span {
        Milliseconds from { 0 };
        Milliseconds to { 0 };
    };

    // The spans in which an instance is not judged, sorted by their start.
    std::vector<Span> spansOutOfTouch(const SupplyRun& run, int instance, Milliseconds contactTime)
    {
        std::vector<Span> spans { { Milliseconds(0), contactTime } };
        for (const SupplyDisruptedSpan& span : run.disrupted) {
            if (span.instance < 0 || span.instance == instance)
                spans.push_back({ span.from, span.to + contactTime });
        }
        std::sort(
            spans.begin(), spans.end(), [](const Span& left, const Span& right) { return left.from < right.from; });
        return spans;
    }

    // The last time in a span that lies in none of the others; std::nullopt if there is none.
    std::optional<Milliseconds> lastOutside(const std::vector<Span>& others, Span span)
    {
        Milliseconds last = span.to;
        for (bool moved = true; moved;) {
            moved = false;
            for (const Span& other : others) {
                if (other.from < last && last <= other.to) {
                    last = other.from;
                    moved = true;
                }
            }
        }
        return last > span.from ? std::optional(last) : std::nullopt;
    }

    struct Search {
        int instance = 0;
        Span within;
        std::vector<Span> excluded;
    };

    // Of one state of a copy, which lasts until `end`.
    void lengthen(
        SupplyDelay& longest, const SupplyRun& run, const Search& search, const CopyState& state, Milliseconds end)
    {
        auto lacking = std::upper_bound(run.versions.begin(), run.versions.end(), state.version,
            [](std::int64_t revision, const Version& version) { return revision < version.revision; });
        for (; lacking != run.versions.end() && lacking->writtenAt < end; ++lacking) {
            Span missing { std::max({ state.from, lacking->acknowledgedAt, search.within.from }),
                std::min({ end, search.within.to, lacking->lostAt.value_or(end) }) };
            auto at = lastOutside(search.excluded, missing);
            if (at && *at - lacking->acknowledgedAt > longest.length)
                longest = { *at - lacking->acknowledgedAt, *at, search.instance, lacking->revision };
        }
    }

    void lengthen(SupplyDelay& longest, const SupplyRun& run, const Search& search)
    {
        const auto& states = run.copies[static_cast<std::size_t>(search.instance)];
        for (std::size_t i = 0; i < states.size(); ++i)
            lengthen(longest, run, search, states[i], i + 1 < states.size() ? states[i + 1].from : run.length);
    }

    std::size_t mostWithinWindow(const std::vector<Milliseconds>& times)
    {
        std::size_t most = 0;
        for (std::size_t first = 0, next = 0; next < times.size(); ++next) {
            while (times[next] - times[first] >= callWindow)
                ++first;
            most = std::max(most, next - first + 1);
        }
        return most;
    }

} // namespace

SupplyDelay SupplyRun::longestDelay(Milliseconds contactTime) const
{
    SupplyDelay longest;
    for (int instance = 0; instance < static_cast<int>(this->names.size()); ++instance)
        lengthen(longest, *this,
            { instance, { Milliseconds(0), this->length }, spansOutOfTouch(*this, instance, contactTime) });
    return longest;
}

SupplyDelay SupplyRun::longestDelayOf(int instance, Milliseconds from, Milliseconds to) const
{
    SupplyDelay longest;
    lengthen(longest, *this, { instance, { from, to }, {} });
    return longest;
}

Milliseconds SupplyRun::greatestAgeOf(int instance, Milliseconds from, Milliseconds to) const
{
    Milliseconds greatest { 0 };
    const auto& states = this->copies[static_cast<std::size_t>(instance)];
    for (std::size_t i = 0; i < states.size(); ++i) {
        Milliseconds end = std::min(i + 1 < states.size() ? states[i + 1].from : this->length, to);
        if (end > from && end > states[i].from)
            greatest = std::max(greatest, end - states[i].confirmedAt);
    }
    return greatest;
}

std::size_t SupplyRun::mostCallsInASecond() const
{
    std::vector<Milliseconds> times;
    for (const auto& own : this->calls)
        times.insert(times.end(), own.begin(), own.end());
    std::sort(times.begin(), times.end());
    return mostWithinWindow(times);
}

std::size_t SupplyRun::mostCallsInASecond(int instance, Milliseconds from) const
{
    std::vector<Milliseconds> times = this->calls[static_cast<std::size_t>(instance)];
    std::erase_if(times, [&](Milliseconds time) { return time < from; });
    return mostWithinWindow(times);
}

std::ostream& operator<<(std::ostream& out, const WriteBurst& burst)
{
    return out << burst.count << " versions from " << burst.from.count() << " ms each " << burst.interval.count()
               << " ms";
}

std::ostream& operator<<(std::ostream& out, const SupplyDisruption& disruption)
{
    constexpr const char* kinds[] { "silent store", "refusing store", "stale connections", "slow store",
        "sent messages lost", "received messages lost", "messages lost both ways", "late messages", "suspended",
        "killed", "compaction", "restore" };
    constexpr const char* scopes[] { "instance of rank ", "all relays", "all but one follower", "the store" };
    out << scopes[static_cast<int>(disruption.scope)];
    if (disruption.scope == SupplyDisruption::Scope::OneInstance)
        out << disruption.rank;
    return out << ": " << kinds[static_cast<int>(disruption.kind)] << " from " << disruption.from.count() << " ms for "
               << disruption.lasts.count() << " ms, amount " << disruption.amount;
}

std::ostream& operator<<(std::ostream& out, const SupplyPlan& plan)
{
    out << plan.instances << " instances in " << plan.dataCentres << (plan.uneven ? " uneven" : "")
        << " data centres, seed " << plan.seed << "\n";
    for (const SupplyDisruption& disruption : plan.disruptions)
        out << "  " << disruption << "\n";
    for (const WriteBurst& burst : plan.writes)
        out << "  " << burst << "\n";
    return out;
}

std::ostream& operator<<(std::ostream& out, const SupplyDelay& delay)
{
    return out << "instance " << delay.instance << " lacks revision " << delay.version << " at " << delay.at.count()
               << " ms, " << delay.length.count() << " ms after its acknowledgement";
}

} // namespace catkinlock::simulation
