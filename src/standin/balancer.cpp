#include "standin/balancer.h"

#include "catkinlock/address.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace catkinlock::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr std::chrono::milliseconds probeInterval { 1000 };
    constexpr std::chrono::milliseconds probeTimeout { 900 };
    constexpr unsigned maxMisses = 2;
    constexpr unsigned statusOk = 200;

    auto asResult() { return asio::as_tuple(asio::use_awaitable); }

} // namespace

Balancer::Balancer(asio::io_context& context, unsigned seed)
    : context(context)
    , random(seed)
{
}

void Balancer::add(std::string callerAddress, std::string readyAddress)
{
    this->backends.push_back({ std::move(callerAddress), std::move(readyAddress) });
    std::size_t instance = this->backends.size() - 1;
    asio::co_spawn(
        this->context, [self = this->shared_from_this(), instance] { return self->probe(instance); }, asio::detached);
}

std::optional<std::size_t> Balancer::choose()
{
    std::vector<std::size_t> inRotation;
    for (std::size_t i = 0; i < this->backends.size(); ++i) {
        if (this->backends[i].wasReady && this->backends[i].misses < maxMisses)
            inRotation.push_back(i);
    }
    if (inRotation.empty())
        return std::nullopt;
    return inRotation[this->random() % inRotation.size()];
}

asio::awaitable<void> Balancer::probe(std::size_t instance)
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->context);
    for (;;) {
        timer.expires_after(probeInterval);
        bool ready = co_await this->isReady(this->backends[instance].readyAddress);
        Backend& backend = this->backends[instance];
        backend.misses = ready ? 0 : backend.misses + 1;
        backend.wasReady = backend.wasReady || ready;
        co_await timer.async_wait(asResult());
    }
}

asio::awaitable<bool> Balancer::isReady(std::string address)
{
    auto self = this->shared_from_this();
    beast::tcp_stream stream(this->context);
    stream.expires_after(probeTimeout);
    auto [connectError] = co_await stream.async_connect(parseAddress(address), asResult());
    if (connectError)
        co_return false;
    http::request<http::empty_body> request(http::verb::get, "/ready", 11);
    request.set(http::field::host, address);
    auto [writeError, written] = co_await http::async_write(stream, request, asResult());
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (writeError)
        co_return false;
    auto [readError, size] = co_await http::async_read(stream, buffer, response, asResult());
    co_return !readError && response.result_int() == statusOk;
}

} // namespace catkinlock::standin
