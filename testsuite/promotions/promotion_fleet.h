#pragma once

#include "standin/front_fleet.h"
#include "standin/kv_service.h"
#include "standin/line_caller.h"
#include "standin/replicated_group.h"
#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace catkinlock::standin {

using std::chrono::milliseconds;

inline constexpr int maxConnections = 60;
inline constexpr milliseconds waitInterval { 50 };
/// Attempts at a write while members are down and a primary is replaced.
inline constexpr int maxWriteAttempts = 400;

/// A group of three stand-in members, a stand-in store, and instances as child processes.
class PromotionFleet {
    // Declared first so that it is destroyed last: the stand-ins below use it.
    boost::asio::io_context context { 1 };

public:
    /// `beforeStart`: what happens to the members before they write their first entries.
    explicit PromotionFleet(
        std::size_t instanceCount, const std::function<void(ReplicatedGroup&)>& beforeStart = [](ReplicatedGroup&) {})
    {
        beforeStart(this->group);
        this->store
            = std::make_shared<KvService>(this->context, [this](const std::string& id) { this->group.promote(id); });
        std::string address = this->store->start();
        this->store->put("op/config",
            lineConfiguration(1, R"("key-1")", { "primary", "read_your_writes", "bounded_staleness" }, maxConnections));
        this->group.start(this->store);
        this->thread = std::thread([this] {
            auto guard = boost::asio::make_work_guard(this->context);
            this->context.run();
        });
        this->fronts = std::make_unique<FrontFleet>(CATKINLOCK_BINARY, address, testing::TempDir());
        for (std::size_t i = 0; i < instanceCount; ++i)
            EXPECT_TRUE(this->fronts->add());
    }

    ~PromotionFleet()
    {
        this->fronts->killAll();
        this->context.stop();
        this->thread.join();
    }

    /// Runs an action on the stand-ins' thread, which alone may use them, and waits for its end.
    void runOnStandInThread(const std::function<void()>& action)
    {
        std::promise<void> done;
        boost::asio::post(this->context, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    std::string history()
    {
        std::string text;
        this->runOnStandInThread([&] { text = this->group.history(); });
        for (std::size_t i = 0; i < this->fronts->size(); ++i)
            text += this->fronts->process(i).output();
        return text;
    }

    /// Notes that a caller was told that this write is committed.
    void recordTold(const std::string& writeId)
    {
        std::lock_guard lock(this->toldMutex);
        this->told.insert(writeId);
    }

    /// Number of commits that callers were told of and that a promoted member's log lacked.
    std::size_t lostCommits()
    {
        std::set<std::string> lost;
        this->runOnStandInThread([&] { lost = this->group.lostWrites(); });
        std::lock_guard lock(this->toldMutex);
        return static_cast<std::size_t>(std::count_if(
            lost.begin(), lost.end(), [this](const std::string& id) { return this->told.count(id) != 0; }));
    }

    ReplicatedGroup group { this->context, "ledger", 3 };
    std::shared_ptr<KvService> store;
    std::unique_ptr<FrontFleet> fronts;

private:
    std::mutex toldMutex;
    std::set<std::string> told;
    std::thread thread;
};

/// Repeats a write until it succeeds, in a new session if the last one ended. False if it never did.
inline bool writeUntilDone(PromotionFleet& fleet, std::size_t instance, const std::string& text)
{
    const std::string& address = fleet.fronts->callerAddress(instance);
    auto caller = std::make_unique<LineCaller>(address, "primary-db", "key-1");
    for (int i = 0; i < maxWriteAttempts; ++i) {
        std::string response = caller->run(text);
        if (response.find("DONE s") != std::string::npos) {
            fleet.recordTold(caller->lastId());
            return true;
        }
        if (response.empty())
            caller = std::make_unique<LineCaller>(address, "primary-db", "key-1");
        std::this_thread::sleep_for(waitInterval);
    }
    return false;
}

/// Sends writes and transactions through one instance until `ended`.
inline void runClient(PromotionFleet& fleet, std::size_t instance, const std::atomic<bool>& ended, unsigned seed)
{
    const std::string& address = fleet.fronts->callerAddress(instance);
    std::minstd_rand random(seed);
    while (!ended) {
        LineCaller caller(address, "primary-db", "key-1");
        bool open = caller.openResponse.starts_with("READY");
        for (int i = 0; open && i < 20 && !ended; ++i) {
            bool inTransaction = random() % 4 == 0;
            if (inTransaction)
                caller.run("BEGIN");
            std::string response = caller.run("WRITE item data");
            std::string writeId = caller.lastId();
            if (inTransaction)
                response = caller.run("COMMIT");
            if (response.find("DONE s") != std::string::npos)
                fleet.recordTold(writeId);
            open = !response.empty();
            std::this_thread::sleep_for(milliseconds(random() % 60));
        }
        std::this_thread::sleep_for(waitInterval);
    }
}

} // namespace catkinlock::standin
