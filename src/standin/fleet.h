#pragma once

#include "standin/caller.h"
#include "standin/process.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// A small fleet on the loopback interface: the platform's stand-in, database groups of stand-in members, and entry
/// instances. Each is a process of its own and listens on ports chosen by the kernel.
class Fleet {
public:
    struct Options {
        std::size_t instances = 3;
        std::size_t databases = 1;
        /// Members of each database group.
        std::size_t members = 3;
        /// Maximum number of connections of the whole fleet to each member.
        std::uint32_t connections = 50;
        /// Number of slots that the workspace's rate and the databases' connections are divided into.
        std::uint32_t slots = 12;
        std::uint32_t slotLeaseSeconds = 3600;
        /// Sustained rate of the workspace, in requests per second.
        std::uint32_t rate = 100000;
        /// Maximum burst of the workspace, in requests.
        std::uint32_t burst = 100000;
        /// Lines appended to the settings of each instance, such as a section.
        std::string extraSettings;
    };

    /// Folder of the programs under test, which is that of the running program.
    static std::string binaryFolder();

    explicit Fleet(Options);
    ~Fleet();

    /// Starts all processes and waits until every instance serves writes. Returns false if they do not within 20 s.
    bool start();
    /// Starts one more instance and registers it with the platform. Returns its index.
    std::size_t startInstance(const std::string& name, const std::string& dataCentre);
    /// Polls a condition every 20 ms until it holds; returns false if it does not within `seconds`.
    static bool waitFor(const std::function<bool()>&, double seconds = 20);

    Process& instance(std::size_t index) { return *this->instances[index].process; }
    /// "ip:port" of the instance's HTTP listener.
    std::string httpAddress(std::size_t index) const { return this->instances[index].http; }
    std::size_t instanceCount() const { return this->instances.size(); }
    Caller caller(std::size_t index) const { return Caller(this->instances[index].http); }
    /// Returns the response body of a GET request to an instance; empty if there was no response.
    std::string page(std::size_t index, const std::string& path) const;
    /// Returns the value of a metric of an instance, summed over its labels; 0 if the metric is missing. `name` goes
    /// without the prefix "catkinlock_".
    double metric(std::size_t index, const std::string& name) const;

    Process& member(std::size_t database, std::size_t index) { return *this->members[database][index].process; }
    std::string memberAddress(std::size_t database, std::size_t index) const
    {
        return this->members[database][index].address;
    }
    /// Sets a fault of a member, by its name in `standin.set`.
    void setMemberFault(std::size_t database, std::size_t index, const std::string& fault, unsigned value) const;
    /// Runs a statement on a member, bypassing the instances, and returns the first column of its rows. For
    /// `catkinlock.status`, returns all columns of its only row. A failed statement returns no rows. NULL
    /// becomes "".
    std::vector<std::string> query(std::size_t database, std::size_t index, const std::string& sql,
        const std::vector<std::string>& parameters = {}) const;
    /// Index of the member that reports itself as primary of the newest term, among the running members; 0 if none
    /// does.
    std::size_t primary(std::size_t database) const;

    Process& platform() { return *this->platformProcess; }
    const std::string& platformAddress() const { return this->platformListenAddress; }
    /// Sets a fault of the platform's stand-in, by its name in POST /standin/set.
    void setPlatformFault(const std::string& fault, std::int64_t value) const;
    /// Writes a document of the tables to the platform's store, without the checks of the operators' client.
    void putTable(const std::string& key, const std::string& json) const;
    /// Deletes a document of the tables from the platform's store.
    void deleteTable(const std::string& key) const;
    /// Writes the settings file of an instance of this fleet and returns its path. The operators' client accepts the
    /// same file.
    std::string settingsFile(const std::string& name, const std::string& dataCentre) const;

    /// Key of the workspace "tours".
    const std::string key = "the-key-of-tours";
    Options options;

private:
    struct InstanceProcess {
        std::string name;
        std::unique_ptr<Process> process;
        /// "ip:port" of the HTTP listener.
        std::string http;
        /// "ip:port" of the listener for other instances.
        std::string peer;
    };
    struct MemberProcess {
        std::unique_ptr<Process> process;
        std::string address;
    };

    /// Writes a key of the platform's store.
    void putKey(const std::string& key, const std::string& value) const;
    /// Writes the pool, the routes, the workspace and its key.
    void putTables() const;
    bool servesWrites(std::size_t index) const;

    std::unique_ptr<Process> platformProcess;
    std::string platformListenAddress;
    std::vector<std::vector<MemberProcess>> members;
    std::vector<InstanceProcess> instances;
    /// Temporary folder of the settings files, removed by the destructor.
    std::string folder;
};

} // namespace catkinlock::standin
