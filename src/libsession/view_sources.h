#pragma once

#include "catkinlock/clock.h"
#include "libsession/relay_choice.h"
#include <map>
#include <string>

namespace catkinlock {

/// Decides from which source an instance requests the next changes of the metadata store. Does no I/O.
class ViewSources {
public:
    /// The source of one request.
    struct Source {
        enum class Kind {
            Store,
            /// The instance at `address`.
            Peer,
        };
        Kind kind = Kind::Store;
        std::string address;

        bool operator==(const Source&) const = default;
    };

    /// The source of the ordinary polls. A relay polls the store, another instance follows a relay. While that fails,
    /// the other relays, the store, the other instances and again the store are tried.
    Source next(const RelayPlan&, TimePoint now) const;
    /// The instance to request from while the view is overdue, besides the ordinary poll at `polled`: a relay that
    /// hasn't failed recently, at the next attempts the other instances in turn, of this data centre and of others.
    /// Empty if there is none.
    std::string nextForOverdue(const RelayPlan&, const std::string& polled, unsigned attempt, TimePoint now) const;

    /// Records that an instance did not reply, or that its view was overdue.
    void recordPeerFailure(const std::string& address, TimePoint now);
    void recordStoreFailure(TimePoint now);
    void recordStoreReply();
    /// Delay before the next ordinary poll of the store after a failed one.
    Milliseconds storeRetryDelay() const;
    /// Failed calls to the store since the last reply.
    unsigned storeFailures() const { return this->failures; }
    /// True while calls to the store fail and none has been replied to since.
    bool storeFails() const { return this->failures != 0; }

private:
    bool isAvailable(const std::string& address, TimePoint now) const;

    // Other sources are preferred to the store until this time.
    TimePoint storeRetryAt;
    // Time until which an instance is skipped, by its address.
    std::map<std::string, TimePoint> peerRetryAt;
    unsigned failures = 0;
};

} // namespace catkinlock
