#include "catkinlock/token_requester.h"

#include "catkinlock/share_bucket.h"
#include <algorithm>

namespace catkinlock {

namespace {

    // A token request without a reply after this time counts as lost.
    constexpr Milliseconds replyTimeout { 60 };
    // If there is no reply after this time, the tokens are requested from another holder as well.
    constexpr Milliseconds slowReplyDelay { 10 };
    // Requests that may await a reply at once. More would add to the load of holders that are slow because of it.
    constexpr std::size_t maxPending = 4;
    // Delay before the next request to a holder that granted less than one token.
    constexpr Milliseconds emptyGrantRetryDelay { 100 };
    // Delay before the next request to a holder that did not reply in time. It doubles with each further one, up to the
    // maximum: the holder may have been about to start, or it may be gone.
    constexpr Milliseconds minUnresponsiveDelay { 60 };
    constexpr Milliseconds maxUnresponsiveDelay { 1000 };

    // Holders grant whole tokens only. What is missing is therefore rounded up, since a request for less than one token
    // would get nothing. A part of a token is not prefetched, since the rest of that token would mostly expire unspent.
    std::int64_t wholeTokens(std::int64_t missing, std::int64_t prefetch)
    {
        std::int64_t needed = (missing + milliPerToken - 1) / milliPerToken;
        std::int64_t expected = (missing + prefetch) / milliPerToken;
        return std::max(needed, expected) * milliPerToken;
    }

} // namespace

void TokenRequester::dropLost(TimePoint now)
{
    std::erase_if(this->pending, [this, now](const auto& item) {
        bool timedOut = now - item.second.sentAt > replyTimeout;
        if (timedOut) {
            Holder& holder = this->delayedHolders[item.first];
            holder.lostDelay = std::clamp(holder.lostDelay * 2, minUnresponsiveDelay, maxUnresponsiveDelay);
            holder.retryAt = item.second.sentAt + replyTimeout + holder.lostDelay;
            ++this->counts.lost;
            ++*this->firstHolder;
        }
        return timedOut;
    });
}

bool TokenRequester::mayAsk(const std::string& holder, TimePoint now) const
{
    auto found = this->delayedHolders.find(holder);
    return !this->pending.count(holder) && (found == this->delayedHolders.end() || found->second.retryAt <= now);
}

bool TokenRequester::tokensMayArrive(const std::vector<std::string>& holders, TimePoint now) const
{
    return !this->pending.empty()
        || std::any_of(holders.begin(), holders.end(),
            [this, now](const std::string& holder) { return this->mayAsk(holder, now); });
}

std::optional<TokenQuery> TokenRequester::next(std::int64_t missing, std::int64_t prefetch,
    const std::vector<std::string>& holders, std::uint64_t id, TimePoint now)
{
    this->dropLost(now);
    // If the same tokens were requested from two holders, both would grant them and half would expire unspent.
    for (const auto& [holder, request] : this->pending) {
        if (now - request.sentAt < slowReplyDelay)
            missing -= request.milliTokens;
    }
    if (missing <= 0)
        return std::nullopt;
    if (this->pending.size() >= maxPending)
        return std::nullopt;
    std::int64_t wanted = wholeTokens(missing, prefetch);
    if (!this->firstHolder)
        this->firstHolder = id;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const std::string& holder = holders[(*this->firstHolder + i) % holders.size()];
        if (!this->mayAsk(holder, now))
            continue;
        this->pending[holder] = { id, now, wanted };
        return TokenQuery { id, holder, wanted };
    }
    return std::nullopt;
}

std::optional<TimePoint> TokenRequester::recordReply(std::uint64_t id, std::int64_t milliTokens, TimePoint now)
{
    auto found = std::find_if(
        this->pending.begin(), this->pending.end(), [id](const auto& item) { return item.second.id == id; });
    if (found == this->pending.end())
        return std::nullopt;
    TimePoint sentAt = found->second.sentAt;
    bool empty = milliTokens < milliPerToken;
    ++(empty ? this->counts.empty : this->counts.granted);
    if (empty) {
        this->delayedHolders[found->first] = { now + emptyGrantRetryDelay };
        ++*this->firstHolder;
    } else {
        this->delayedHolders.erase(found->first);
    }
    this->pending.erase(found);
    return sentAt;
}

} // namespace catkinlock
