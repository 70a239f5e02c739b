// A small deployment: the store, one database group of three members, and front processes.
#pragma once

#include "fronts.h"
#include "members.h"
#include <iostream>

namespace review {

struct Fleet {
    Fleet(const std::string& recordPath, std::string folder)
        : record(recordPath)
        , folder(std::move(folder))
        , group(this->context, this->record, "svc")
        , store(std::make_shared<Store>(this->context, this->record,
              [this](const std::string& service, const std::string& id) { return this->promote(service, id); }))
    {
    }

    unsigned promote(const std::string& service, const std::string& id)
    {
        Group* found = service == this->group.service ? &this->group : this->second.get();
        return found && found->service == service ? found->promote(id) : 409;
    }

    // Adds a second database group. To be called before `run`.
    void addSecondGroup(const std::string& service)
    {
        this->second = std::make_unique<Group>(this->context, this->record, service);
        for (const char* id : { "i-n1", "i-n2", "i-n3" })
            this->second->add(id);
    }

    void run(std::size_t fronts)
    {
        auto route = [](const char* name, const char* kind, const std::string& service = "svc") {
            json::object object { { "name", name }, { "database", name }, { "prefix", "/" }, { "routeKind", kind },
                { "timeoutMs", 2000 }, { "targetLatencyMs", 400 }, { "priority", 1 }, { "service", service },
                { "maxAttempts", 2 }, { "public", false } };
            if (std::string(kind) != "primary")
                object["maxStalenessMs"] = 2500;
            return object;
        };
        json::object config { { "configVersion", 7 },
            { "routes",
                json::array { route("orders", "primary"), route("rosters", "bounded_staleness"),
                    route("desk", "read_your_writes") } },
            { "services",
                json::array { json::object { { "name", "svc" }, { "healthPath", "/health" }, { "maxConns", 200 },
                    { "protocol", "h1" }, { "tls", false }, { "syncReplicas", 1 } } } },
            { "limits",
                json::object { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
                    { "idleTimeoutMs", 15000 }, { "txIdleMs", 3000 } } },
            { "tenants",
                json::array { json::object { { "name", "tenant1" }, { "apiKeys", json::array { "key1" } },
                    { "priority", 1 }, { "ratePerS", 2000 }, { "burst", 2000 } } } } };
        if (this->second) {
            json::object service = config["services"].as_array()[0].as_object();
            service["name"] = this->second->service;
            config["services"].as_array().push_back(service);
            config["routes"].as_array().push_back(route("stock", "primary", this->second->service));
        }
        if (this->changeConfig)
            this->changeConfig(config);
        for (const char* id : { "i-m1", "i-m2", "i-m3" })
            this->group.add(id);
        this->store->put("op/config", json::serialize(config));
        this->store->run();
        this->group.run(this->store);
        if (this->second)
            this->second->run(this->store);
        for (std::size_t i = 0; i < fronts; ++i) {
            this->fronts.push_back(
                std::make_shared<Front>(this->context, this->record, "edge-" + std::to_string(i + 1), this->folder));
            std::string promotions = this->store->address();
            if (this->pathToPromotions)
                promotions = this->pathToPromotions(*this->fronts.back());
            this->fronts.back()->run(this->store->address(), promotions);
        }
    }

    // False if the fronts are not all in rotation in time.
    asio::awaitable<bool> awaitReady()
    {
        for (int i = 0; i < 150; ++i) {
            bool all = std::all_of(
                this->fronts.begin(), this->fronts.end(), [](const auto& front) { return front->inRotation; });
            if (all)
                co_return true;
            co_await pause(Ms(100));
        }
        co_return false;
    }

    std::string nextId() { return "q" + std::to_string(++this->lastId); }

    // Ends the process with the outcome of the case: 0 the rule held, 1 it was broken, 2 the case could not run.
    void end(int outcome)
    {
        for (const auto& front : this->fronts)
            front->killNow();
        this->record.write("outcome " + std::to_string(outcome));
        std::cout << "outcome " << outcome << std::endl;
        ::_exit(outcome);
    }

    asio::io_context context { 1 };
    Record record;
    std::string folder;
    Group group;
    std::shared_ptr<Store> store;
    std::vector<std::shared_ptr<Front>> fronts;
    // Changes the configuration before it is written.
    std::function<void(json::object&)> changeConfig;
    // Null if there is one group only.
    std::unique_ptr<Group> second;
    // Gives the address at which a front reaches the promotion call; the store's if it is empty.
    std::function<std::string(const Front&)> pathToPromotions;
    unsigned long lastId = 0;
};

} // namespace review
