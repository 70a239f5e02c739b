#include "libsession/registration.h"

#include "catkinlock/log.h"
#include "catkinlock/store_revision.h"
#include "libsession/spawn.h"
#include "libsession/view_builder.h"
#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace catkinlock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    // The lease is renewed after its duration divided by this.
    constexpr int renewDivisor = 3;
    // Delay after a failed call to the store.
    constexpr Milliseconds retryDelay { 400 };
    // Longest delay before the entry is written again after a restore of the store.
    constexpr Milliseconds maxRewriteDelay { 800 };
    // The same after it has expired. Shorter, because the instance does not serve without an entry.
    constexpr Milliseconds maxMissingDelay { 150 };
    // Replaces the entry of an instance that has left.
    constexpr const char* leftEntry = R"({"left":true})";

} // namespace

Registration::Registration(asio::io_context& context, std::shared_ptr<MetadataStore> store, std::string name,
    RegisteredInstance self, std::uint32_t leaseSeconds, std::function<void()> written)
    : context(context)
    , store(std::move(store))
    , key(instancePrefix + name)
    , value(json::serialize(
          json::object { { "peer", self.peerAddress }, { "data_centre", self.dataCentre }, { "cores", self.cores } }))
    , leaseSeconds(leaseSeconds)
    , timer(context)
    , written(std::move(written))
{
}

void Registration::start()
{
    spawn(this->context, [self = this->shared_from_this()] { return self->maintainEntry(); });
}

asio::awaitable<bool> Registration::writeEntry()
{
    if (!this->lease) {
        auto granted = co_await this->store->grantLease(this->leaseSeconds);
        if (!granted)
            co_return false;
        this->lease = *granted;
    }
    auto swapped = co_await this->store->swap(this->key, 0, this->value, this->lease);
    if (swapped && !swapped->swapped) {
        // The key exists: an earlier run of this instance left its entry, or the response to an earlier swap was lost.
        auto found = co_await this->store->read(this->key);
        if (!found)
            co_return false;
        std::int64_t revision = *found ? (*found)->revision : 0;
        swapped = co_await this->store->swap(this->key, revision, this->value, this->lease);
    }
    if (!swapped) {
        // The lease may have ended: it is that of an earlier era of the store, or ran out while the store was away.
        this->lease = 0;
        writeLog(LogLevel::Warning, "registration_failed", { { "reason", swapped.error().message } });
        co_return false;
    }
    this->revision = swapped->swapped ? swapped->revision : 0;
    co_return swapped->swapped;
}

asio::awaitable<void> Registration::sleepFor(Milliseconds time)
{
    this->timer.expires_after(time);
    co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Milliseconds Registration::renewInterval() const
{
    return Milliseconds(std::chrono::seconds(this->leaseSeconds)) / renewDivisor;
}

void Registration::forgetEntry()
{
    writeLog(LogLevel::Warning, "registration_lapsed");
    this->lease = 0;
    this->registered = false;
}

asio::awaitable<Milliseconds> Registration::renew()
{
    std::int64_t renewed = this->lease;
    auto kept = co_await this->store->keepLeaseAlive(renewed);
    if (!kept)
        co_return retryDelay;
    // The entry may have been found to be missing meanwhile.
    if (!*kept && renewed == this->lease)
        this->forgetEntry();
    co_return this->registered ? this->renewInterval() : Milliseconds(0);
}

asio::awaitable<void> Registration::maintainEntry()
{
    auto self = this->shared_from_this();
    while (!this->stopping) {
        Milliseconds delay { 0 };
        if (this->registered) {
            delay = co_await this->renew();
        } else {
            this->registered = co_await this->writeEntry();
            delay = this->registered ? this->renewInterval() : retryDelay;
            if (this->registered)
                this->written();
        }
        if (!this->rewriteSpread.count())
            co_await this->sleepFor(delay);
        Milliseconds spread = std::exchange(this->rewriteSpread, Milliseconds(0));
        if (!spread.count())
            continue;
        // All instances learn at about the same time that the store has lost their entries.
        std::uniform_int_distribution<int> any(0, static_cast<int>(spread.count()));
        co_await this->sleepFor(Milliseconds(any(this->random)));
    }
}

void Registration::recordEra(std::int64_t era)
{
    if (!this->registered || StoreRevision::fromSequence(this->lease).era >= era)
        return;
    this->forgetEntry();
    this->rewriteSpread = maxRewriteDelay;
    this->timer.cancel();
}

void Registration::recordMissing(std::int64_t storeRevision)
{
    if (!this->registered || storeRevision < this->revision)
        return;
    this->forgetEntry();
    this->rewriteSpread = maxMissingDelay;
    this->timer.cancel();
}

asio::awaitable<void> Registration::unregister()
{
    auto self = this->shared_from_this();
    this->stopping = true;
    if (this->registered)
        co_await this->store->swap(this->key, this->revision, leftEntry, this->lease);
}

} // namespace catkinlock
