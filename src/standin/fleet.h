#pragma once

#include "standin/caller.h"
#include "standin/process.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// A small fleet on loopback: the platform's stand-in, database groups of stand-in members, and entry instances, each a
/// process of its own on ports that the kernel chose.
class Fleet {
public:
    struct Options {
        std::size_t instances = 3;
        std::size_t databases = 1;
        std::size_t members = 3;
        std::uint32_t connections = 50;
        std::uint32_t slots = 12;
        std::uint32_t slotLeaseSeconds = 3600;
        std::uint32_t rate = 100000;
        std::uint32_t burst = 100000;
        /// Further lines for each instance's settings, such as a section.
        std::string moreSettings;
    };

    /// Folder of the programs under test: this program's own.
    static std::string binaryFolder();

    explicit Fleet(Options);
    ~Fleet();

    /// Starts everything and waits until every instance serves writes. False if that takes too long.
    bool start();
    /// Starts one more instance and lists it with the platform.
    std::size_t startInstance(const std::string& name, const std::string& dataCentre);
    /// Waits until a condition holds; false if it does not in time.
    static bool waitFor(const std::function<bool()>&, double seconds = 20);

    Process& instance(std::size_t index) { return *this->instances[index].process; }
    std::string httpAddress(std::size_t index) const { return this->instances[index].http; }
    std::size_t instanceCount() const { return this->instances.size(); }
    Caller caller(std::size_t index) const { return Caller(this->instances[index].http); }
    /// A GET page of an instance.
    std::string page(std::size_t index, const std::string& path) const;
    /// A figure of an instance's metrics page, summed over labels.
    double metric(std::size_t index, const std::string& name) const;

    Process& member(std::size_t database, std::size_t index) { return *this->members[database][index].process; }
    std::string memberAddress(std::size_t database, std::size_t index) const
    {
        return this->members[database][index].address;
    }
    /// Sets a fault of a member.
    void setMember(std::size_t database, std::size_t index, const std::string& fault, unsigned value) const;
    /// Runs a statement on a member, past the proxy; the first column of its rows.
    std::vector<std::string> query(std::size_t database, std::size_t index, const std::string& sql,
        const std::vector<std::string>& parameters = {}) const;
    /// The member that says it is the primary of the newest term, among those that run.
    std::size_t primary(std::size_t database) const;

    Process& platform() { return *this->platformProcess; }
    const std::string& platformAddress() const { return this->platformListens; }
    void setPlatform(const std::string& fault, std::int64_t value) const;
    /// Writes a document of the tables, past the operators' client.
    void putTable(const std::string& key, const std::string& json) const;
    void deleteTable(const std::string& key) const;
    /// Settings of an instance of this fleet; also what the operators' client takes.
    std::string settingsFile(const std::string& name, const std::string& dataCentre) const;

    const std::string key = "the-key-of-tours";
    Options options;

private:
    struct InstanceProcess {
        std::string name;
        std::unique_ptr<Process> process;
        std::string http;
        std::string peer;
    };
    struct MemberProcess {
        std::unique_ptr<Process> process;
        std::string address;
    };

    void putKey(const std::string& key, const std::string& value) const;
    void putTables() const;
    bool servesWrites(std::size_t index) const;

    std::unique_ptr<Process> platformProcess;
    std::string platformListens;
    std::vector<std::vector<MemberProcess>> members;
    std::vector<InstanceProcess> instances;
    std::string folder;
};

} // namespace catkinlock::standin
