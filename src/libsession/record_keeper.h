#pragma once

#include "catkinlock/metadata_store.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace catkinlock {

/// Writes group records and memberships to the metadata store again that were lost when the store was restored from an
/// older copy. Every instance that knows a lost record tries after a random delay; the first one is successful. Runs on
/// the control thread.
class RecordKeeper : public std::enable_shared_from_this<RecordKeeper> {
public:
    /// `lost` returns the records to write, with the revisions of the older ones in the store, 0 for one that the store
    /// does not have.
    RecordKeeper(boost::asio::io_context&, std::shared_ptr<MetadataStore>, std::function<std::vector<KeyValue>()> lost);

    /// Writes the lost records, if there are any and no write is in progress. Call it every few hundred milliseconds.
    void check();

private:
    boost::asio::awaitable<void> writeLost();
    boost::asio::awaitable<void> write(KeyValue);

    boost::asio::io_context& context;
    std::shared_ptr<MetadataStore> store;
    std::function<std::vector<KeyValue>()> lost;
    bool writing = false;
    std::minstd_rand random { std::random_device {}() };
};

} // namespace catkinlock
