#pragma once

#include "standin/process.h"
#include <memory>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// The operators' configuration for the line protocol: one service, "ledger", with a route of each kind, whose database
/// is the kind with "-db" added, and one workspace with these keys, given as JSON strings. `maxConnections` is the
/// limit of each member.
std::string lineConfiguration(
    int version, const std::string& apiKeys, const std::vector<std::string>& routeKinds, int maxConnections);

/// Instances that serve sessions over the line protocol, as child processes on loopback addresses.
class FrontFleet {
public:
    /// `program`: path of the catkinlock binary. `store`: "ip:port" of the platform's stand-in. `folder`: for the
    /// settings files.
    FrontFleet(std::string program, std::string store, std::string folder);

    /// Sets the drain time of the instances that are added from now on, in seconds.
    void setDrainSeconds(int seconds) { this->drainSeconds = seconds; }
    /// Sets text that is appended to the settings of the instances that are added from now on, such as a section.
    void setExtraSettings(std::string text) { this->extraSettings = std::move(text); }
    /// Starts one more instance, "i0", "i1" and so on. False if it did not get ready.
    bool add();
    /// Starts one more instance, and does not wait for it.
    void launchNew();
    /// Starts an instance that has ended again, and does not wait for it.
    void launch(std::size_t);
    /// Ends an instance at once and starts it again. False if it did not get ready.
    bool restart(std::size_t);
    /// Ends an instance at once and starts it again, without waiting for anything.
    void relaunch(std::size_t);
    /// Path of an instance's settings file.
    const std::string& settingsPath(std::size_t i) const { return this->settingsPaths[i]; }
    Process& process(std::size_t i) { return *this->processes[i]; }
    /// "ip:port" at which an instance accepts callers.
    const std::string& callerAddress(std::size_t i) const { return this->callerAddresses[i]; }
    /// "ip:port" at which an instance reports whether it is ready, at the path "/ready".
    const std::string& readyAddress(std::size_t i) const { return this->readyAddresses[i]; }
    /// "ip:port" of an instance's metrics page.
    const std::string& metricsAddress(std::size_t i) const { return this->metricsAddresses[i]; }
    /// "ip:port" at which an instance accepts messages of others.
    const std::string& peerAddress(std::size_t i) const { return this->peerAddresses[i]; }
    std::size_t size() const { return this->processes.size(); }
    /// Ends all instances at once.
    void killAll() { this->processes.clear(); }

private:
    bool awaitReady(std::size_t);
    void addSettings();

    std::string program;
    std::string store;
    std::string folder;
    std::vector<std::string> settingsPaths;
    std::vector<std::string> callerAddresses;
    std::vector<std::string> readyAddresses;
    std::vector<std::string> metricsAddresses;
    std::vector<std::string> peerAddresses;
    std::string extraSettings;
    int drainSeconds = 2;
    std::vector<std::unique_ptr<Process>> processes;
};

} // namespace catkinlock::standin
