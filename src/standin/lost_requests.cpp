#include "standin/lost_requests.h"

#include <algorithm>

namespace catkinlock::standin {

namespace {

    // A fault of an instance excuses what is sent to it until this long after it. Those of members excuse nothing.
    constexpr std::chrono::milliseconds faultMemory { 4000 };
    // A request that is cut sooner after it was sent may not have been read.
    constexpr std::chrono::milliseconds unreadTime { 200 };

    bool isNearFault(const RequestRecord& request, const std::vector<FleetEvent>& events)
    {
        return std::any_of(events.begin(), events.end(), [&request](const FleetEvent& event) {
            return event.kind == FleetEvent::Kind::Fault && event.instance == request.instance
                && event.from <= request.endedAt && request.sentAt <= event.until + faultMemory;
        });
    }

    bool isNearPlannedWork(const RequestRecord& request, const std::vector<FleetEvent>& events)
    {
        return std::any_of(events.begin(), events.end(), [&request](const FleetEvent& event) {
            bool isPlanned = event.kind != FleetEvent::Kind::Fault && event.kind != FleetEvent::Kind::MemberFault;
            bool concerns = event.kind == FleetEvent::Kind::Change || event.instance == request.instance;
            return isPlanned && concerns && event.from <= request.endedAt && request.sentAt <= event.until;
        });
    }

} // namespace

UnansweredRequests findUnanswered(const std::vector<RequestRecord>& requests, const std::vector<FleetEvent>& events,
    const std::set<std::string>& seen)
{
    UnansweredRequests found;
    for (const RequestRecord& request : requests) {
        bool isCut = request.end == RequestEnd::Closed || request.end == RequestEnd::Reset;
        if (!isCut || isNearFault(request, events))
            continue;
        bool wasRead = seen.count(request.id) != 0 || request.endedAt - request.sentAt > unreadTime;
        if (wasRead && isNearPlannedWork(request, events))
            found.lost.push_back(request);
        else if (request.text == "CONNECT")
            found.openings.push_back(request);
        else
            found.cut.push_back(request);
    }
    return found;
}

} // namespace catkinlock::standin
