#include "libsession/registration.h"

#include "catkinlock/log.h"
#include "libsession/spawn.h"
#include "libsession/view_builder.h"
#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace catkinlock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    // The lease is renewed after this part of it.
    constexpr int renewDivisor = 3;
    constexpr Milliseconds retryPause { 400 };

} // namespace

Registration::Registration(asio::io_context& context, std::shared_ptr<MetadataStore> store, std::string name,
    RegisteredInstance self, std::uint32_t leaseSeconds)
    : context(context)
    , store(std::move(store))
    , key(instancePrefix + name)
    , value(json::serialize(json::object { { "peer", self.peerAddress }, { "data_centre", self.dataCentre } }))
    , leaseSeconds(leaseSeconds)
{
}

void Registration::start()
{
    spawn(this->context, [self = this->shared_from_this()] { return self->keep(); });
}

asio::awaitable<bool> Registration::enter()
{
    if (!this->lease) {
        auto granted = co_await this->store->grantLease(this->leaseSeconds);
        if (!granted)
            co_return false;
        this->lease = *granted;
    }
    auto swapped = co_await this->store->swap(this->key, 0, this->value, this->lease);
    if (swapped && !swapped->swapped) {
        // An earlier start of this instance has left its entry, or an answer was lost.
        auto found = co_await this->store->read(this->key);
        if (!found)
            co_return false;
        std::int64_t revision = *found ? (*found)->revision : 0;
        swapped = co_await this->store->swap(this->key, revision, this->value, this->lease);
    }
    if (!swapped) {
        writeLog(LogLevel::Warning, "registration_failed", { { "reason", swapped.error().message } });
        co_return false;
    }
    co_return swapped->swapped;
}

asio::awaitable<void> Registration::keep()
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->context);
    while (!this->ending) {
        Milliseconds pause = std::chrono::seconds(this->leaseSeconds) / renewDivisor;
        if (!this->entered) {
            this->entered = co_await this->enter();
        } else {
            auto kept = co_await this->store->keepLeaseAlive(this->lease);
            if (!kept)
                pause = retryPause;
            else if (!*kept) {
                writeLog(LogLevel::Warning, "registration_lapsed");
                this->lease = 0;
                this->entered = false;
            }
        }
        if (!this->entered)
            pause = retryPause;
        timer.expires_after(pause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> Registration::end()
{
    auto self = this->shared_from_this();
    this->ending = true;
    if (this->lease)
        co_await this->store->revokeLease(this->lease);
}

} // namespace catkinlock
