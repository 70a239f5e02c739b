#pragma once

#include "catkinlock/claim_schedule.h"
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

/// Key prefix of the slots in the platform's metadata store.
inline constexpr const char* slotPrefix = "/catkinlock/slot/";
/// The slot that a key with that prefix names; std::nullopt if the rest of the key is not a number of 32 bits.
std::optional<std::uint32_t> slotOf(const std::string& key);
/// Key of the latest era of the metadata store in which free slots may be claimed without a wait.
inline constexpr const char* slotEraKey = "/catkinlock/slot-era";

/// Claims this instance's share of the fleet's slots, renews the lease on them, and releases slots when the fleet grows
/// or the instance leaves. Each slot is claimed by compare-and-swap; all are attached to one lease. The end of the
/// lease is measured on this process's clock from before the request to the store was sent, less a margin. So this
/// instance stops using its slots before the store's lease expires and another instance can claim them. Used on the
/// control thread only.
///
/// After the store was restored from an older copy, its slots may be free although an instance holds them under a lease
/// of the earlier era. Their holder claims them again as soon as it learns of the new era, whatever the copy says, and
/// uses them meanwhile. Every instance waits for the duration of a lease before it claims another slot, by which time
/// all leases of the earlier era have ended.
class SlotKeeper : public std::enable_shared_from_this<SlotKeeper> {
public:
    struct Options {
        /// Number of slots in the fleet.
        std::uint32_t slotCount;
        std::uint32_t leaseSeconds;
        /// Name of this instance.
        std::string instance;
        /// "ip:port" of this instance for peers.
        std::string peerAddress;
        /// Time between the end of the use of a slot and its release in the store. Work that depends on the slot may
        /// still be in progress for this long, so no other instance may claim the slot earlier.
        Milliseconds releaseDelay { 2500 };
    };
    struct Hooks {
        /// Called when the held slots or the end of the lease may have changed.
        std::function<void(const std::set<std::uint32_t>&, TimePoint validUntil)> changed;
        /// Names of the instances that share the slots. An instance that isn't among them holds none.
        std::function<std::vector<std::string>()> fleet;
        /// Whether an earlier run of this instance may have left slots in the store; no value while that is not known
        /// yet.
        std::function<std::optional<bool>()> mayHoldEarlierSlots;
        /// True if another instance is known to hold the slot.
        std::function<bool(std::uint32_t)> isTaken;
    };

    SlotKeeper(boost::asio::io_context&, std::shared_ptr<MetadataStore>, Options, Hooks);

    /// Starts to claim slots and to renew the lease.
    void start();
    /// Records that the store is in this era. Call it whenever another reader of the store learns of a later one.
    void recordEra(std::int64_t era);
    /// Stops using all slots at once, and revokes the lease after the release delay, or at `deadline` if that is
    /// earlier. Returns once the call to revoke the lease has ended.
    boost::asio::awaitable<void> releaseAll(TimePoint deadline);
    /// Slots that this instance holds. They may be used only until the time last passed to `Hooks::changed`.
    const std::set<std::uint32_t>& held() const { return this->slots; }

private:
    boost::asio::awaitable<void> runMaintenance();
    // Renews the lease, or obtains a new one if there is none or it has expired. False if the store could not be
    // reached.
    boost::asio::awaitable<bool> renew();
    // Obtains a lease if there is none. False if the store could not be reached.
    boost::asio::awaitable<bool> ensureLease();
    // True once the slots that an earlier run left have been taken over, or are known not to exist.
    boost::asio::awaitable<bool> takeOverEarlierSlotsAtStart();
    // Obtains a new lease after the present one has ended in the store. If the store was restored, the held slots are
    // claimed again under it. False if the store could not be reached.
    boost::asio::awaitable<bool> reclaim();
    // True if no lease of an earlier era can still run, so that slots which are free in the store may be claimed.
    boost::asio::awaitable<bool> mayClaimFreeSlots();
    // Lets instances that start in this era claim free slots at once.
    boost::asio::awaitable<void> writeSlotEra(std::int64_t expectedRevision);
    // Claims free slots up to this instance's fair share.
    boost::asio::awaitable<void> claimMissing();
    // Claims one slot if its key still has the expected revision, 0 for a key that does not exist. False if this
    // instance did not obtain the key.
    boost::asio::awaitable<bool> claim(std::uint32_t slot, std::int64_t expectedRevision);
    // Reads the holders of all slots from the store into `takenByOthers` and `earlierSlots`. False if the store could
    // not be read.
    boost::asio::awaitable<bool> readSlots();
    boost::asio::awaitable<void> takeOverEarlierSlots();
    // Releases the slots beyond this instance's fair share.
    boost::asio::awaitable<void> releaseSurplus();
    // Stops using the slots at once, and deletes their keys after the release delay.
    boost::asio::awaitable<void> release(std::set<std::uint32_t> surplus);
    // Number of slots divided by the number of instances that share them, rounded up; 0 if this one doesn't.
    std::size_t fairShare() const;
    std::set<std::uint32_t> freeSlots() const;
    // Claims anew, and soon, if a slot has become free.
    void followFreeSlots();
    std::size_t rankFor(std::uint32_t slot, const std::vector<std::string>& fleet) const;
    std::string keyOf(std::uint32_t slot) const;
    // Drops all slots if the lease is no longer valid.
    void dropIfExpired();
    void notifyChanged();

    boost::asio::io_context& context;
    std::shared_ptr<MetadataStore> store;
    Options options;
    Hooks hooks;
    std::set<std::uint32_t> slots;
    // Slots in the last "slots_changed" log line.
    std::set<std::uint32_t> loggedSlots;
    // Slots that were not free when they were last read, or that this instance failed to claim since.
    std::set<std::uint32_t> takenByOthers;
    // Slots that an earlier run of this instance left in the store, and the revisions of their keys.
    std::map<std::uint32_t, std::int64_t> earlierSlots;
    // The store's era, and when this instance learned of it; -1 before the first response.
    std::int64_t storeEra = -1;
    TimePoint storeEraSince;
    // True if this instance has known an earlier era.
    bool storeWasRestored = false;
    // True if free slots may be claimed in this era.
    bool eraSettled = false;
    // Id of the current lease; 0 if there is none.
    std::int64_t leaseId = 0;
    // The held slots may be used only before this time.
    TimePoint validUntil;
    TimePoint renewAt;
    bool leaving = false;
    // True if `takenByOthers` is recent enough to claim slots without reading them again.
    bool slotsRead = false;
    ClaimSchedule claims;
    // Slots that nobody was known to hold at the last round of maintenance.
    std::set<std::uint32_t> lastFreeSlots;
};

} // namespace catkinlock
