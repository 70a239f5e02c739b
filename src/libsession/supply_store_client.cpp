#include "libsession/supply_store_client.h"

#include "libsession/supply_call.h"
#include "libsession/supply_fleet.h"
#include <boost/asio.hpp>

namespace catkinlock::simulation {

namespace asio = boost::asio;

namespace {

    // As those of the platform's client.
    constexpr Milliseconds callTimeout { 1500 };
    constexpr Milliseconds pollTimeoutMargin { 900 };

    PlatformError failed(const char* message) { return { false, message }; }

} // namespace

SupplyStoreClient::SupplyStoreClient(SupplyFleet& fleet, int number, std::shared_ptr<SupplyProcess> process)
    : fleet(fleet)
    , number(number)
    , process(std::move(process))
{
}

asio::awaitable<PlatformResult<SupplyAnswer>> SupplyStoreClient::call(SupplyRequest request, Milliseconds timeout)
{
    ++this->callCount;
    auto call = std::make_shared<SupplyCall>(this->fleet.context, this->number, this->process);
    this->process->in(timeout, [call] { call->end(tl::unexpected(failed("no answer"))); });
    this->fleet.carry(call, request);
    co_await call->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    this->fleet.traceCall(*call, request);
    if (!*call->outcome)
        this->closeIdleConnections();
    co_return *call->outcome;
}

asio::awaitable<PlatformResult<KeyRange>> SupplyStoreClient::readPrefix(std::string)
{
    auto answer = co_await this->call({}, callTimeout);
    co_return answer.map([](const SupplyAnswer& found) { return found.range; });
}

asio::awaitable<PlatformResult<KeyChanges>> SupplyStoreClient::changesAfter(
    std::string, std::int64_t revision, Milliseconds wait)
{
    auto answer = co_await this->call({ revision, wait }, wait + pollTimeoutMargin);
    co_return answer.map([](const SupplyAnswer& found) { return found.changes; });
}

void SupplyStoreClient::closeIdleConnections() { this->fleet.closeIdleConnections(this->number); }

asio::awaitable<PlatformResult<std::optional<KeyValue>>> SupplyStoreClient::read(std::string)
{
    co_return tl::unexpected(failed("not simulated"));
}

asio::awaitable<PlatformResult<SwapResult>> SupplyStoreClient::swap(
    std::string, std::int64_t, std::optional<std::string>, std::int64_t)
{
    co_return tl::unexpected(failed("not simulated"));
}

asio::awaitable<PlatformResult<std::int64_t>> SupplyStoreClient::grantLease(std::uint32_t)
{
    co_return tl::unexpected(failed("not simulated"));
}

asio::awaitable<PlatformResult<bool>> SupplyStoreClient::keepLeaseAlive(std::int64_t)
{
    co_return tl::unexpected(failed("not simulated"));
}

asio::awaitable<PlatformResult<bool>> SupplyStoreClient::revokeLease(std::int64_t)
{
    co_return tl::unexpected(failed("not simulated"));
}

} // namespace catkinlock::simulation
