#pragma once

#include "catkinlock/metadata_store.h"
#include "libsession/fleet_view.h"
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace catkinlock {

/// Keeps this instance's entry in the metadata store under a lease, so that the others find it, and wait for it before
/// they change what it relies on. On the control thread.
class Registration : public std::enable_shared_from_this<Registration> {
public:
    Registration(boost::asio::io_context&, std::shared_ptr<MetadataStore>, std::string name, RegisteredInstance,
        std::uint32_t leaseSeconds);

    void start();
    /// Removes the entry.
    boost::asio::awaitable<void> end();

private:
    boost::asio::awaitable<void> keep();
    boost::asio::awaitable<bool> enter();

    boost::asio::io_context& context;
    std::shared_ptr<MetadataStore> store;
    std::string key;
    std::string value;
    std::uint32_t leaseSeconds;
    std::int64_t lease = 0;
    bool entered = false;
    bool ending = false;
};

} // namespace catkinlock
