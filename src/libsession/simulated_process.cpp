#include "libsession/simulated_process.h"

#include "libsession/simulated_fleet.h"
#include <boost/asio.hpp>

namespace catkinlock::simulation {

namespace asio = boost::asio;

namespace {

    // Timeout of the store's client.
    constexpr Milliseconds storeTimeout { 1500 };

    using Kind = Disruption::Kind;

} // namespace

SimulatedProcess::SimulatedProcess(SimulatedFleet& fleet, int number, int run)
    : fleet(fleet)
    , number(number)
    , run(run)
    , name(SimulatedFleet::nameOf(number))
    , startedAt(fleet.time.now())
{
}

void SimulatedProcess::at(TimePoint time, std::function<void()> event)
{
    this->fleet.time.at(time, [self = this->shared_from_this(), event = std::move(event)] {
        if (self->ended)
            return;
        if (self->fleet.time.now() < self->suspended)
            self->at(self->suspended, event);
        else
            event();
    });
}

asio::awaitable<void> SimulatedProcess::sleepFor(Duration time)
{
    auto self = this->shared_from_this();
    auto wait = [self, time](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        self->at(self->fleet.time.now() + time, [shared] { std::move (*shared)(); });
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(wait, asio::use_awaitable);
}

asio::awaitable<void> SimulatedProcess::enter(Step step)
{
    this->fleet.disruptAt(step, *this);
    co_await this->sleepFor(Duration(0));
}

// Calls the store as the platform's client does.
asio::awaitable<PlatformResult<StoreReply>> SimulatedProcess::call(std::function<StoreReply()> run)
{
    SimulatedFleet& world = this->fleet;
    Loss loss = std::exchange(this->answerLoss, Loss::None);
    if (world.disrupted(Kind::TurnedAway, this->number)) {
        co_await this->sleepFor(world.delay(Milliseconds(2), Milliseconds(50)));
        co_return tl::unexpected(PlatformError { false, "turned away" });
    }
    if (world.disrupted(Kind::Outage, -1) || world.disrupted(Kind::Cut, this->number)) {
        bool refused = world.disrupted(Kind::Outage, -1) && world.chance(0.5);
        co_await this->sleepFor(refused ? Duration(Milliseconds(5)) : storeTimeout);
        co_return tl::unexpected(PlatformError { !refused, "no answer" });
    }
    if (loss == Loss::None && world.disrupted(Kind::LostAnswers, -1) && world.chance(0.5))
        loss = world.chance(0.5) ? Loss::Answer : Loss::DelayedEffect;
    Duration request = world.delay(Milliseconds(2), Milliseconds(100));
    Duration response = world.delay(Milliseconds(2), Milliseconds(100));
    Duration effect = request;
    if (loss == Loss::DelayedEffect)
        effect += world.lateEffectDelay();
    auto reply = std::make_shared<std::optional<StoreReply>>();
    world.time.at(world.time.now() + effect, [reply, run = std::move(run), &world] {
        if (!world.disrupted(Kind::Outage, -1))
            *reply = run();
    });
    if (loss != Loss::None) {
        co_await this->sleepFor(world.chance(0.5) ? request + response : storeTimeout);
        co_return tl::unexpected(PlatformError { true, "answer lost" });
    }
    co_await this->sleepFor(request + response);
    if (*reply && !world.disrupted(Kind::Cut, this->number))
        co_return **reply;
    co_await this->sleepFor(storeTimeout - request - response);
    co_return tl::unexpected(PlatformError { true, "no answer" });
}

asio::awaitable<PlatformResult<StoreReply>> SimulatedProcess::swap(
    std::string key, std::int64_t expected, std::string value, std::int64_t lease)
{
    return this->call([&store = this->fleet.store, key, expected, value, lease] {
        return StoreReply { store.swap(key, expected, value, lease), std::nullopt };
    });
}

asio::awaitable<PlatformResult<StoreReply>> SimulatedProcess::read(std::string key)
{
    return this->call([&store = this->fleet.store, key] {
        const KeyChange* found = store.read(key);
        return StoreReply { 0, found ? std::optional(*found) : std::nullopt };
    });
}

} // namespace catkinlock::simulation
