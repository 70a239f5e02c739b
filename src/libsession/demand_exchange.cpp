#include "libsession/demand_exchange.h"

#include "peer.pb.h"
#include <algorithm>

namespace catkinlock {

namespace {

    // After its last report with demand, a gateway sends this many without. If all were lost, its share would stay
    // reserved for it until its next report.
    constexpr unsigned emptyReports = 3;

} // namespace

std::map<std::string, DemandReport> DemandExchange::due(const std::vector<ServiceDemand>& demands, std::int64_t nowMs)
{
    std::map<std::string, DemandReport> reports;
    for (const ServiceDemand& service : demands) {
        for (const std::string& peer : service.peers) {
            DemandReport& report = reports[peer];
            report.sentAtMs = nowMs;
            std::copy_if(service.members.begin(), service.members.end(), std::back_inserter(report.members),
                [](const MemberDemand& member) { return !member.isIdle(); });
        }
    }
    for (auto it = this->emptySent.begin(); it != this->emptySent.end();)
        it = reports.count(it->first) ? std::next(it) : this->emptySent.erase(it);
    for (auto it = reports.begin(); it != reports.end();) {
        unsigned& sent = this->emptySent.try_emplace(it->first, emptyReports).first->second;
        if (!it->second.members.empty())
            sent = 0;
        else if (sent >= emptyReports) {
            it = reports.erase(it);
            continue;
        } else
            ++sent;
        ++it;
    }
    return reports;
}

void writeDemand(const DemandReport& report, wire::MemberDemand& message)
{
    message.set_sent_at_ms(report.sentAtMs);
    for (const MemberDemand& member : report.members) {
        wire::MemberDemandEntry& entry = *message.add_members();
        entry.set_member(member.member);
        entry.set_running(member.running);
        entry.set_waiting(member.waiting);
        entry.set_stretch_percent(member.stretchPercent);
    }
}

DemandReport readDemand(const wire::MemberDemand& message)
{
    DemandReport report;
    report.sentAtMs = message.sent_at_ms();
    report.members.reserve(static_cast<std::size_t>(message.members_size()));
    for (const wire::MemberDemandEntry& entry : message.members())
        report.members.push_back({ entry.member(), entry.running(), entry.waiting(), entry.stretch_percent() });
    return report;
}

} // namespace catkinlock
