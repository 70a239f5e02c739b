#pragma once

#include "catkinlock/metadata_store.h"
#include "libsession/leader_tenure.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace catkinlock {

class TimeSource;

/// The leader lease in the metadata store, as one instance acquires, renews and ends it. `LeaderTenure` decides when it
/// may act. Several replacements may run under one lease. Runs on the control thread.
class LeaderLease : public std::enable_shared_from_this<LeaderLease> {
public:
    struct Parts {
        std::shared_ptr<MetadataStore> store;
        std::shared_ptr<TimeSource> time;
        /// Name of this instance.
        std::string instance;
    };
    struct Hooks {
        /// Called when the lease was acquired, taken over or resumed; `previousHolder` is empty if nobody held it.
        std::function<void(LeaderStep, const std::string& previousHolder, std::int64_t fencingToken)> obtained;
        /// Called when this instance has ended the lease.
        std::function<void(std::int64_t fencingToken)> released;
    };

    LeaderLease(boost::asio::io_context&, Parts, Hooks);

    /// Takes the step that `LeaderTenure::next` returns for these arguments. Returns true if a replacement may start;
    /// it has to end with `finish`.
    boost::asio::awaitable<bool> obtain(std::optional<StoredLeader>, HolderContact, bool urgent);
    /// Renews the lease if little of it is left.
    boost::asio::awaitable<void> renewIfNeeded();
    /// Renews the lease if it does not cover the tenure of an order. Returns false if an order may not be given.
    boost::asio::awaitable<bool> prepareOrder();
    /// Records that a request to promote a member has ended, with or without an answer.
    void recordOrder(TimePoint now) { this->decisions.recordOrder(now); }
    /// Ends a replacement. After the last one the lease is kept as long as `LeaderTenure::idleStep` says.
    void finish();

    const LeaderTenure& tenure() const { return this->decisions; }
    /// True if `LeaderTenure::holds` is, or if this instance has requested the lease and doesn't know the outcome yet.
    bool holds(std::int64_t leaseId, TimePoint now) const
    {
        return leaseId && (this->requestedLease == leaseId || this->decisions.holds(leaseId, now));
    }

private:
    boost::asio::awaitable<bool> take(LeaderStep, std::int64_t expectedRevision);
    boost::asio::awaitable<bool> acquire(std::int64_t expectedRevision);
    boost::asio::awaitable<bool> resume();
    boost::asio::awaitable<void> runIdle();
    boost::asio::awaitable<void> takeIdleStep();
    boost::asio::awaitable<void> writeIdle();
    boost::asio::awaitable<void> renew(std::int64_t leaseId);
    boost::asio::awaitable<void> release();
    boost::asio::awaitable<std::int64_t> write(std::int64_t expectedRevision, LeaderRecord);

    boost::asio::io_context& context;
    Parts parts;
    Hooks hooks;
    LeaderTenure decisions;
    // Id of the store's lease under which this instance is acquiring the leader lease; 0 if it is not.
    std::int64_t requestedLease = 0;
    // Replacements that run under the lease.
    unsigned replacements = 0;
    // True while a call changes the stored record or ends the lease.
    bool changing = false;
    // True while `runIdle` runs.
    bool idling = false;
};

} // namespace catkinlock
