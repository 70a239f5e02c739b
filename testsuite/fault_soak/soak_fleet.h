#pragma once

#include "standin/balancer.h"
#include "standin/fleet_event.h"
#include "standin/front_fleet.h"
#include "standin/kv_service.h"
#include "standin/load_caller.h"
#include "standin/lost_requests.h"
#include "standin/replicated_group.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace catkinlock::standin {

/// Instances as processes, three groups of three stand-in members, a stand-in store, a balancer and callers of three
/// routes for each group. The stand-ins run on one thread, the balancer and the callers on another one.
class SoakFleet {
public:
    using Milliseconds = std::chrono::milliseconds;

    /// `program`: path of the catkinlock binary. The instances have `drainSeconds` to end after SIGTERM.
    SoakFleet(std::string program, std::size_t instanceCount, int drainSeconds, unsigned seed);
    ~SoakFleet();
    SoakFleet(const SoakFleet&) = delete;
    SoakFleet& operator=(const SoakFleet&) = delete;

    /// Starts the callers.
    void startCallers();
    /// Lets the callers finish their operations and waits for them.
    void endCallers();
    /// Waits, and meanwhile starts instances that have ended again and kills those that had their time.
    void runFor(Milliseconds);

    /// Sends SIGTERM to an instance, which is killed if it is still running after its time, and then started again.
    /// Does nothing if it is stopping already.
    void stopInstance(std::size_t);
    /// Sends SIGHUP to an instance.
    void reloadInstance(std::size_t);
    /// Kills an instance and starts it again.
    void killInstance(std::size_t);
    /// Suspends an instance for some time.
    void suspendInstance(std::size_t, Milliseconds);
    /// Lets each instance stand still for some tens of milliseconds now and then, as under a limit of its processor
    /// time. That is no disruption.
    void setThrottled(bool throttled) { this->throttled = throttled; }
    void addInstance();
    /// Writes another configuration, with or without a route that no caller uses.
    void changeConfiguration();
    /// Has a member announce that it leaves, and replaces it by one of another id with its log after some time.
    void replaceMember(std::size_t group, std::size_t member);
    /// Notes an unplanned disruption and carries it out on the stand-ins' thread.
    void disturb(const std::string& text, Milliseconds duration, const std::function<void()>& action);

    std::size_t instances() const { return this->fronts->size(); }
    ReplicatedGroup& group(std::size_t i) { return *this->groups[i]; }
    /// The instance that holds the leader lease; std::nullopt if there is none.
    std::optional<std::size_t> leader();
    void runOnStandInThread(const std::function<void()>&);

    UnansweredRequests unanswered();
    /// Instances that ended by themselves with an error, or not within their time after SIGTERM although they ran.
    std::size_t instancesThatEndedBadly() const { return this->badEnds; }
    /// Instances that were told to stop.
    std::size_t stops() const;
    std::size_t operations() const { return this->log->operations; }
    std::size_t served() const { return this->log->served; }
    std::size_t promotions();
    /// Number of commits that callers were told of and that a promoted member's log lacked.
    std::size_t lostCommits();
    /// Number of writes that a member's log has more than once.
    std::size_t repeatedWrites();
    /// Ids of writes of which callers were told that they had no effect and that a member's log has.
    std::set<std::string> falselyRefused();
    /// The errors that callers were given, with the number of each.
    std::map<std::string, std::size_t> errors() const;
    /// One line on what callers saw.
    std::string summary();
    /// What happened to the fleet and to its members.
    std::string history();
    /// True if an instance has printed this text.
    bool hasPrinted(const std::string& text);
    /// What an instance has printed.
    std::string output(std::size_t instance)
    {
        return this->outputs[instance] + this->fronts->process(instance).output();
    }

private:
    struct InstanceState {
        // When it is killed, if it was told to stop.
        std::optional<Milliseconds> killAt;
        // When it is started, if it has ended.
        std::optional<Milliseconds> startAt;
        std::optional<Milliseconds> resumeAt;
        bool killed = false;
        bool suspended = false;
    };
    struct Replacement {
        std::size_t group = 0;
        std::size_t member = 0;
        Milliseconds at { 0 };
    };

    Milliseconds now() const;
    void noteEvent(FleetEvent);
    void tend();
    void tendInstance(std::size_t);
    void throttle(std::size_t);
    void noteNewInstance();
    std::string configuration() const;

    boost::asio::io_context standInContext { 1 };
    boost::asio::io_context callerContext { 1 };
    std::vector<std::unique_ptr<ReplicatedGroup>> groups;
    std::shared_ptr<KvService> store;
    std::unique_ptr<FrontFleet> fronts;
    std::shared_ptr<Balancer> balancer;
    std::shared_ptr<CallerLog> log = std::make_shared<CallerLog>();
    std::vector<std::shared_ptr<LoadCaller>> callers;
    std::vector<InstanceState> states;
    // Output of earlier processes of each instance.
    std::vector<std::string> outputs;
    std::vector<FleetEvent> events;
    std::vector<Replacement> replacements;
    std::size_t replacedMembers = 0;
    std::size_t badEnds = 0;
    unsigned seed;
    int drainSeconds;
    int configurationVersion = 1;
    bool throttled = false;
    std::minstd_rand random;
    std::thread standInThread;
    std::thread callerThread;
};

} // namespace catkinlock::standin
