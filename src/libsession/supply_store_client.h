#pragma once

#include "catkinlock/metadata_store.h"
#include "libsession/supply_process.h"
#include "libsession/supply_store.h"

namespace catkinlock::simulation {

class SupplyFleet;

/// An instance's client of the store, which times out as the platform's client does. It only reads.
class SupplyStoreClient : public PolledStore {
public:
    SupplyStoreClient(SupplyFleet&, int number, std::shared_ptr<SupplyProcess>);

    boost::asio::awaitable<PlatformResult<KeyRange>> readPrefix(std::string prefix) override;
    boost::asio::awaitable<PlatformResult<KeyChanges>> changesAfter(
        std::string prefix, std::int64_t revision, Milliseconds wait) override;
    void closeIdleConnections() override;
    boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> read(std::string key) override;
    boost::asio::awaitable<PlatformResult<SwapResult>> swap(
        std::string key, std::int64_t expected, std::optional<std::string> value, std::int64_t lease) override;
    boost::asio::awaitable<PlatformResult<std::int64_t>> grantLease(std::uint32_t seconds) override;
    boost::asio::awaitable<PlatformResult<bool>> keepLeaseAlive(std::int64_t lease) override;
    boost::asio::awaitable<PlatformResult<bool>> revokeLease(std::int64_t lease) override;
    std::uint64_t calls() const override { return this->callCount; }

private:
    boost::asio::awaitable<PlatformResult<SupplyAnswer>> call(SupplyRequest, Milliseconds timeout);

    SupplyFleet& fleet;
    int number;
    std::shared_ptr<SupplyProcess> process;
    std::uint64_t callCount = 0;
};

} // namespace catkinlock::simulation
