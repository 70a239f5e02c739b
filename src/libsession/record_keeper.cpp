#include "libsession/record_keeper.h"

#include "catkinlock/log.h"
#include "libsession/spawn.h"
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Longest delay before a lost record is written.
    constexpr Milliseconds maxWriteDelay { 400 };

} // namespace

RecordKeeper::RecordKeeper(
    asio::io_context& context, std::shared_ptr<MetadataStore> store, std::function<std::vector<KeyValue>()> lost)
    : context(context)
    , store(std::move(store))
    , lost(std::move(lost))
{
}

void RecordKeeper::check()
{
    if (this->writing || this->lost().empty())
        return;
    this->writing = true;
    spawn(this->context, [self = this->shared_from_this()] { return self->writeLost(); });
}

asio::awaitable<void> RecordKeeper::writeLost()
{
    auto self = this->shared_from_this();
    std::uniform_int_distribution<int> delay(0, static_cast<int>(maxWriteDelay.count()));
    asio::steady_timer timer(this->context, Milliseconds(delay(this->random)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    // Another instance may have written them meanwhile.
    for (const KeyValue& record : this->lost())
        co_await this->write(record);
    this->writing = false;
}

// A failed write is tried again with the next check, from the revision that the store then has.
asio::awaitable<void> RecordKeeper::write(KeyValue record)
{
    auto swapped = co_await this->store->swap(record.key, record.revision, record.value, 0);
    bool written = swapped && swapped->swapped;
    writeLog(LogLevel::Warning, written ? "lost_record_written" : "lost_record_not_written",
        { { "key", record.key }, { "record", record.value } });
}

} // namespace catkinlock
