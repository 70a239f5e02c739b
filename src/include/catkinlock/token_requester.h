#pragma once

#include "catkinlock/clock.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlock {

/// A request for tokens, to be sent to one holder.
struct TokenQuery {
    std::uint64_t id = 0;
    /// Peer address of the holder.
    std::string holder;
    std::int64_t milliTokens = 0;

    auto operator<=>(const TokenQuery&) const = default;
};

/// Replies to the token requests of an instance since its start.
struct TokenReplyCounts {
    /// Replies with at least one token, and those with less.
    std::uint64_t granted = 0;
    std::uint64_t empty = 0;
    /// Requests that got no reply in time.
    std::uint64_t lost = 0;

    auto operator<=>(const TokenReplyCounts&) const = default;
};

/// Decides for one workspace which slot holder an instance asks next for the tokens that it lacks. Reads no clock and
/// sends nothing.
///
/// Load: few requests of a workspace at each of many instances, most of which hold no part of its rate and depend on
/// grants for nearly every request.
class TokenRequester {
public:
    /// The next request, if one should be sent now. `missing`: millitokens that the waiting requests lack. `prefetch`:
    /// millitokens that are requested in addition. `holders`: peer addresses of the other instances that hold a share
    /// of the workspace's rate, in rank order. `id` identifies the request and must be new.
    std::optional<TokenQuery> next(std::int64_t missing, std::int64_t prefetch, const std::vector<std::string>& holders,
        std::uint64_t id, TimePoint now);
    /// Records a reply. Returns the time at which the request was sent; std::nullopt if the reply is a duplicate or
    /// came too late.
    std::optional<TimePoint> recordReply(std::uint64_t id, std::int64_t milliTokens, TimePoint now);
    /// True if a reply is pending, or if a holder may be asked now. Otherwise all holders were found empty or
    /// unresponsive just now.
    bool tokensMayArrive(const std::vector<std::string>& holders, TimePoint now) const;
    const TokenReplyCounts& replies() const { return this->counts; }

private:
    struct PendingRequest {
        std::uint64_t id;
        TimePoint sentAt;
        std::int64_t milliTokens;
    };

    struct Holder {
        // Earliest time of the next request.
        TimePoint retryAt;
        // Delay after the last lost request; 0 after a reply.
        Milliseconds lostDelay { 0 };
    };

    void dropLost(TimePoint now);
    bool mayAsk(const std::string& holder, TimePoint now) const;

    // Requests that await a reply, by the holder's address.
    std::map<std::string, PendingRequest> pending;
    // Holders that granted nothing or did not reply, by address.
    std::map<std::string, Holder> delayedHolders;
    // Index among the holders, modulo their number, of the one that is asked first; none before the first request. It
    // differs between instances, so that they do not all ask one holder, and advances after a grant of less than one
    // token and after a lost request.
    std::optional<std::size_t> firstHolder;
    TokenReplyCounts counts;
};

} // namespace catkinlock
