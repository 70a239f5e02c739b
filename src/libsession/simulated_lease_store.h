#pragma once

#include "catkinlock/metadata_store.h"
#include <memory>

namespace catkinlock::simulation {

class SimulatedProcess;

/// The store as the leader lease of one process uses it. Each call is a step in which the plan may disrupt the process.
/// Only the calls of `LeaderLease` are implemented.
class SimulatedLeaseStore : public MetadataStore {
public:
    explicit SimulatedLeaseStore(std::weak_ptr<SimulatedProcess> process)
        : process(std::move(process))
    {
    }

    boost::asio::awaitable<PlatformResult<KeyRange>> readPrefix(std::string prefix) override;
    boost::asio::awaitable<PlatformResult<std::optional<KeyValue>>> read(std::string key) override;
    boost::asio::awaitable<PlatformResult<SwapResult>> swap(
        std::string key, std::int64_t expected, std::optional<std::string> value, std::int64_t lease) override;
    boost::asio::awaitable<PlatformResult<std::int64_t>> grantLease(std::uint32_t seconds) override;
    boost::asio::awaitable<PlatformResult<bool>> keepLeaseAlive(std::int64_t lease) override;
    boost::asio::awaitable<PlatformResult<bool>> revokeLease(std::int64_t lease) override;
    std::uint64_t calls() const override { return 0; }

private:
    std::weak_ptr<SimulatedProcess> process;
    // Id of a lease that was granted and under which nothing was written yet; 0 if there is none.
    std::int64_t unusedLease = 0;
};

} // namespace catkinlock::simulation
