#pragma once

#include "catkinlock/metadata_store.h"
#include "libsession/fleet_view.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace catkinlock {

/// Maintains this instance's entry in the metadata store under a lease. Other instances use the entry to send messages
/// to this one, and before they complete a change of a primary they wait until every registered instance has seen it
/// or can no longer use an older view. An instance that leaves marks its entry, so that nobody waits for it. Runs on
/// the control thread.
class Registration : public std::enable_shared_from_this<Registration> {
public:
    /// `written` is called when the entry has been written.
    Registration(boost::asio::io_context&, std::shared_ptr<MetadataStore>, std::string name, RegisteredInstance,
        std::uint32_t leaseSeconds, std::function<void()> written);

    /// Starts to write the entry and to renew its lease.
    void start();
    /// Records that the store is in this era. An entry of an earlier era is written again within a second.
    void recordEra(std::int64_t era);
    /// Records that the store has no entry of this instance as of this revision. It is written again at once, unless it
    /// was written later.
    void recordMissing(std::int64_t revision);
    /// Revision of the entry as written last; 0 before.
    std::int64_t entryRevision() const { return this->revision; }
    /// Stops renewing and marks the entry as that of an instance that has left. Its lease then deletes it.
    boost::asio::awaitable<void> unregister();

private:
    boost::asio::awaitable<void> maintainEntry();
    // Writes the entry under a lease. Returns false if that failed and has to be tried again.
    boost::asio::awaitable<bool> writeEntry();
    // Renews the lease. Returns the time until the next renewal; zero if the entry has to be written again.
    boost::asio::awaitable<Milliseconds> renew();
    Milliseconds renewInterval() const;
    void forgetEntry();
    boost::asio::awaitable<void> sleepFor(Milliseconds);

    boost::asio::io_context& context;
    std::shared_ptr<MetadataStore> store;
    std::string key;
    std::string value;
    std::uint32_t leaseSeconds;
    boost::asio::steady_timer timer;
    // Id of the lease; 0 while there is none.
    std::int64_t lease = 0;
    std::int64_t revision = 0;
    std::function<void()> written;
    bool registered = false;
    bool stopping = false;
    // The entry is to be written again after a random delay of at most this; zero if it isn't.
    Milliseconds rewriteSpread { 0 };
    std::minstd_rand random { std::random_device {}() };
};

} // namespace catkinlock
