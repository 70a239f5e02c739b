#pragma once

#include "catkinlock/metadata_store.h"
#include <functional>
#include <string>

namespace catkinlock {

/// A request to make a member the primary of its group.
struct PromotionRequest {
    std::string service;
    /// Id of the member.
    std::string target;
    /// Name of the instance that holds the leader lease.
    std::string holder;
    /// Fencing token of the leader lease. It increases with each holder, so the service can refuse requests of an
    /// earlier holder.
    std::int64_t fencingToken = 0;
};

/// The platform's service that promotes members to primaries. Call it from one thread only.
class PromotionService {
public:
    virtual ~PromotionService() = default;

    /// Returns true if the platform accepted the request, and false if the platform responded that the member can't be
    /// promoted. Every other response is an error. `mayAct` is asked right before the request is written, after all
    /// waiting; if it returns false the request is not sent, which is an error too.
    virtual boost::asio::awaitable<PlatformResult<bool>> promote(PromotionRequest, std::function<bool()> mayAct) = 0;
};

} // namespace catkinlock
