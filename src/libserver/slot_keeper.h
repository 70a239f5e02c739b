#pragma once

#include "catkinlock/metadata_store.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinlock {

/// Prefix of the slots in the platform's service.
inline constexpr const char* slotPrefix = "/catkinlock/slot/";

/// Claims this instance's share of the fleet's slots, each by compare-and-swap under one lease, renews the lease, and
/// gives up slots when the fleet grows or the instance leaves. A slot is held until the lease's end by this process's
/// own clock, counted from before the platform was asked, so that nobody else can have it meanwhile. On the control
/// thread.
class SlotKeeper : public std::enable_shared_from_this<SlotKeeper> {
public:
    struct Options {
        std::uint32_t slotCount;
        std::uint32_t leaseSeconds;
        std::string instance;
        std::string peerAddress;
    };
    struct Hooks {
        /// The slots or the end of the lease have changed.
        std::function<void(const std::set<std::uint32_t>&, TimePoint validUntil)> changed;
        /// Names of the instances that share the slots, this one included.
        std::function<std::vector<std::string>()> fleet;
        /// Whether an earlier start of this instance may have left slots; nothing while that can't be told yet.
        std::function<std::optional<bool>()> mayHaveLeftSlots;
        /// True if some other instance is known to hold the slot.
        std::function<bool(std::uint32_t)> isTaken;
    };

    SlotKeeper(boost::asio::io_context&, std::shared_ptr<MetadataStore>, Options, Hooks);

    void start();
    /// Gives all slots back; returns when that is done or `deadline` has passed.
    boost::asio::awaitable<void> releaseAll(TimePoint deadline);
    const std::set<std::uint32_t>& held() const { return this->slots; }

private:
    boost::asio::awaitable<void> keep();
    boost::asio::awaitable<bool> renew();
    boost::asio::awaitable<bool> ensureLease();
    boost::asio::awaitable<bool> takeOverAtStart();
    boost::asio::awaitable<void> claimMissing();
    boost::asio::awaitable<bool> claim(std::uint32_t slot, std::int64_t expected);
    boost::asio::awaitable<bool> readSlots();
    boost::asio::awaitable<void> takeOver();
    boost::asio::awaitable<void> releaseSurplus();
    boost::asio::awaitable<void> release(std::set<std::uint32_t> surplus);
    std::size_t fairShare() const;
    std::size_t rankFor(std::uint32_t slot, const std::vector<std::string>& fleet) const;
    std::string keyOf(std::uint32_t slot) const;
    void dropIfOver();
    void announce();

    boost::asio::io_context& context;
    std::shared_ptr<MetadataStore> platform;
    Options options;
    Hooks hooks;
    std::set<std::uint32_t> slots;
    std::set<std::uint32_t> takenByOthers;
    // Slots that an earlier start of this instance left, and the revisions of their keys.
    std::map<std::uint32_t, std::int64_t> leftBehind;
    std::int64_t lease = 0;
    TimePoint validUntil;
    TimePoint renewAt;
    bool leaving = false;
    bool slotsRead = false;
    // Claims so far; each lets instances claim that come later in the order for a slot.
    unsigned rounds = 0;
};

} // namespace catkinlock
