#include "libsession/supply_process.h"

#include <boost/asio.hpp>

namespace catkinlock::simulation {

namespace asio = boost::asio;

SupplyProcess::SupplyProcess(VirtualTime& time, Duration clockOffset, std::function<void()> touched)
    : time(time)
    , clockOffset(clockOffset)
    , touched(std::move(touched))
{
}

void SupplyProcess::at(TimePoint when, std::function<void()> event)
{
    this->time.at(when, [self = this->shared_from_this(), event = std::move(event)] {
        if (self->ended)
            return;
        if (self->time.now() < self->suspendedUntil)
            return self->at(self->suspendedUntil, event);
        event();
        self->touched();
    });
}

void SupplyProcess::in(Duration delay, std::function<void()> event)
{
    this->at(this->time.now() + delay, std::move(event));
}

void SupplyProcess::suspendFor(Duration duration)
{
    this->suspendedUntil = std::max(this->suspendedUntil, this->time.now() + duration);
}

asio::awaitable<void> SupplyProcess::sleepFor(Milliseconds duration)
{
    auto self = this->shared_from_this();
    auto wait = [self, duration](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        self->in(duration, [shared] { std::move (*shared)(); });
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(wait, asio::use_awaitable);
}

} // namespace catkinlock::simulation
