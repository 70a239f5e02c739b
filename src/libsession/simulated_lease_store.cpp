#include "libsession/simulated_lease_store.h"

#include "libsession/leader_record.h"
#include "libsession/simulated_fleet.h"
#include <boost/asio.hpp>

namespace catkinlock::simulation {

namespace asio = boost::asio;

namespace {

    PlatformError endedError() { return { false, "the process has ended" }; }

} // namespace

asio::awaitable<PlatformResult<KeyRange>> SimulatedLeaseStore::readPrefix(std::string)
{
    co_return tl::unexpected(PlatformError { false, "not simulated" });
}

asio::awaitable<PlatformResult<std::optional<KeyValue>>> SimulatedLeaseStore::read(std::string key)
{
    auto running = this->process.lock();
    if (!running)
        co_return tl::unexpected(endedError());
    auto found = co_await running->read(key);
    if (!found)
        co_return tl::unexpected(found.error());
    if (!found->value)
        co_return std::optional<KeyValue>();
    co_return KeyValue { key, found->value->value, found->value->revision, false };
}

asio::awaitable<PlatformResult<SwapResult>> SimulatedLeaseStore::swap(
    std::string key, std::int64_t expected, std::optional<std::string> value, std::int64_t lease)
{
    auto running = this->process.lock();
    if (!running || !value)
        co_return tl::unexpected(endedError());
    bool idle = parseLeaderRecord(*value).state == LeaderRecord::State::Idle;
    bool first = std::exchange(this->unusedLease, 0) == lease;
    co_await running->enter(idle ? Step::WriteIdle : first ? Step::WriteLease : Step::Resume);
    auto swapped = co_await running->swap(key, expected, *value, lease);
    if (!swapped)
        co_return tl::unexpected(swapped.error());
    co_return SwapResult { swapped->number != 0, swapped->number };
}

asio::awaitable<PlatformResult<std::int64_t>> SimulatedLeaseStore::grantLease(std::uint32_t)
{
    auto running = this->process.lock();
    if (!running)
        co_return tl::unexpected(endedError());
    co_await running->enter(Step::Grant);
    auto granted = co_await running->call([&store = running->fleet.store] { return StoreReply { store.grant(), {} }; });
    if (!granted)
        co_return tl::unexpected(granted.error());
    this->unusedLease = granted->number;
    co_return granted->number;
}

asio::awaitable<PlatformResult<bool>> SimulatedLeaseStore::keepLeaseAlive(std::int64_t lease)
{
    auto running = this->process.lock();
    if (!running)
        co_return tl::unexpected(endedError());
    co_await running->enter(Step::Renew);
    auto renewed = co_await running->call([&store = running->fleet.store, lease] {
        return StoreReply { store.keepAlive(lease), std::nullopt };
    });
    if (!renewed)
        co_return tl::unexpected(renewed.error());
    co_return renewed->number != 0;
}

asio::awaitable<PlatformResult<bool>> SimulatedLeaseStore::revokeLease(std::int64_t lease)
{
    auto running = this->process.lock();
    if (!running)
        co_return tl::unexpected(endedError());
    co_await running->enter(Step::Release);
    auto revoked = co_await running->call([&store = running->fleet.store, lease] {
        store.revoke(lease);
        return StoreReply { 1, std::nullopt };
    });
    if (!revoked)
        co_return tl::unexpected(revoked.error());
    co_return true;
}

} // namespace catkinlock::simulation
