#pragma once

#include "catkinlock/metadata_store.h"
#include <string>

namespace catkinlock {

/// An order to make a member the primary of its group.
struct PromotionOrder {
    std::string service;
    /// Id of the member.
    std::string target;
    /// Instance that holds the duty, and its fencing token, which only grows.
    std::string holder;
    std::int64_t fencingToken = 0;
};

/// The platform's service that changes primaries. Used from one thread.
class PromotionService {
public:
    virtual ~PromotionService() = default;

    /// True if the order was accepted; false if this member can't be promoted.
    virtual boost::asio::awaitable<PlatformResult<bool>> promote(PromotionOrder) = 0;
};

} // namespace catkinlock
