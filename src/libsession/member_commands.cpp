#include "libsession/member_commands.h"

#include "libsession/spawn.h"
#include "libsession/target_link.h"
#include <algorithm>
#include <boost/asio.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Between two checks whether all members have replied.
    constexpr Milliseconds replyCheckInterval { 5 };
    // Workspace under which connections for promotions are opened.
    constexpr const char* promotionWorkspace = "catkinlock";

} // namespace

MemberCommands::MemberCommands(asio::io_context& context, std::shared_ptr<const TargetProtocol> protocol)
    : context(context)
    , protocol(std::move(protocol))
{
}

asio::awaitable<std::optional<MemberReport>> MemberCommands::send(
    TargetRecord target, TargetCommand command, SendGuard maySend)
{
    auto self = this->shared_from_this();
    auto link = this->links[target.id];
    this->links.erase(target.id);
    if (!link || !link->isOpen()) {
        link = std::make_shared<TargetLink>(this->context.get_executor(), this->protocol);
        link->setResetOnClose(commandTimeout);
        auto opened = co_await link->open(target, promotionWorkspace, commandTimeout);
        if (!opened)
            co_return std::nullopt;
    }
    if (maySend && !maySend())
        co_return std::nullopt;
    auto reply = co_await link->command(command, std::nullopt, Clock::now() + commandTimeout);
    if (!reply)
        co_return std::nullopt;
    this->links[target.id] = link;
    co_return this->protocol->report(*reply);
}

// One command to each of several members, sent at once.
struct MemberCommands::Round {
    std::vector<PromotionCandidate> candidates;
    std::vector<bool> replied;
    std::size_t outstanding = 0;
    SendGuard mayAct;
    // Highest term that a member has reported in this round or an earlier one.
    std::uint64_t highestTerm = 0;
};

void MemberCommands::query(std::shared_ptr<Round> round, std::size_t index, TargetRecord member, TargetCommand command)
{
    ++round->outstanding;
    auto run = [self = this->shared_from_this(), round, index, member, command]() -> asio::awaitable<void> {
        auto report = co_await self->send(member, command, round->mayAct);
        --round->outstanding;
        if (!report)
            co_return;
        round->highestTerm = std::max({ round->highestTerm, report->term, report->fencedTerm });
        round->candidates[index].report = *report;
        round->replied[index] = true;
    };
    spawn(this->context, run);
}

asio::awaitable<void> MemberCommands::sendAll(
    std::shared_ptr<Round> round, std::vector<TargetRecord> members, std::vector<TargetCommand> commands)
{
    auto self = this->shared_from_this();
    round->replied.assign(members.size(), false);
    for (std::size_t i = 0; i < members.size(); ++i)
        this->query(round, i, members[i], commands[i]);
    co_await this->awaitReplies(round);
}

asio::awaitable<void> MemberCommands::awaitReplies(std::shared_ptr<Round> round)
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->context);
    while (round->outstanding) {
        timer.expires_after(replyCheckInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::shared_ptr<MemberCommands::Round> MemberCommands::makeRound(
    const std::vector<TargetRecord>& members, const std::string& primary, SendGuard mayAct)
{
    auto round = std::make_shared<Round>();
    round->mayAct = std::move(mayAct);
    for (const TargetRecord& member : members)
        round->candidates.push_back({ member.id, member.id == primary, member.draining, false, {} });
    return round;
}

asio::awaitable<std::vector<PromotionCandidate>> MemberCommands::reports(
    std::vector<TargetRecord> members, std::string primary)
{
    auto self = this->shared_from_this();
    auto round = makeRound(members, primary);
    std::vector<TargetCommand> commands(members.size());
    co_await this->sendAll(round, members, commands);
    co_return round->candidates;
}

asio::awaitable<std::vector<PromotionCandidate>> MemberCommands::fence(
    std::vector<TargetRecord> members, GroupRecord old, bool pauseAll, SendGuard mayAct)
{
    auto self = this->shared_from_this();
    auto round = makeRound(members, old.primary, std::move(mayAct));
    round->highestTerm = old.term;
    // The first round only collects the members' terms, so that the second one can send the commands with a term above
    // all of them.
    std::vector<TargetCommand> commands(members.size());
    co_await this->sendAll(round, members, commands);
    if (findPromoted(round->candidates, old))
        co_return round->candidates;
    std::vector<bool> wasServing(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
        // A restarted primary has another id than the one in the group's record, but reports that it is a primary.
        PromotionCandidate& candidate = round->candidates[i];
        wasServing[i] = candidate.report.primary;
        candidate.wasPrimary = candidate.wasPrimary || candidate.report.primary;
        commands[i].term = round->highestTerm + 1;
        bool isReplica = round->replied[i] && !candidate.report.primary;
        // In a planned handover replicas keep receiving while the primary steps down, so that they get all of its log.
        if (candidate.wasPrimary && !isReplica)
            commands[i].kind = TargetCommand::Kind::StepDown;
        else if (candidate.wasPrimary || pauseAll)
            commands[i].kind = TargetCommand::Kind::Pause;
    }
    co_await this->sendAll(round, members, commands);
    // A primary that has stepped down is a replica, which another primary may send its log.
    for (std::size_t i = 0; i < members.size(); ++i) {
        bool hasSteppedDown = wasServing[i] && round->replied[i] && !round->candidates[i].report.primary;
        if (!hasSteppedDown)
            continue;
        commands[i].kind = TargetCommand::Kind::Pause;
        round->replied[i] = false;
        this->query(round, i, members[i], commands[i]);
    }
    co_await this->awaitReplies(round);
    for (std::size_t i = 0; i < members.size(); ++i) {
        PromotionCandidate& candidate = round->candidates[i];
        bool isPaused = !candidate.report.primary && candidate.report.fencedTerm >= commands[i].term;
        candidate.fenced = round->replied[i] && isPaused;
    }
    co_return round->candidates;
}

asio::awaitable<MemberCommands::Presence> MemberCommands::probe(TargetRecord target)
{
    auto self = this->shared_from_this();
    auto link = std::make_shared<TargetLink>(this->context.get_executor(), this->protocol);
    auto opened = co_await link->open(target, promotionWorkspace, commandTimeout);
    link->close();
    if (opened)
        co_return Presence::Running;
    bool ended = opened.error().nothingListens || opened.error().refusal == StatementError::Misrouted;
    co_return ended ? Presence::Ended : Presence::Silent;
}

asio::awaitable<void> MemberCommands::resume(std::vector<TargetRecord> replicas, SendGuard mayAct)
{
    auto self = this->shared_from_this();
    auto round = std::make_shared<Round>();
    round->mayAct = std::move(mayAct);
    round->candidates.resize(replicas.size());
    TargetCommand command;
    command.kind = TargetCommand::Kind::Resume;
    std::vector<TargetCommand> commands(replicas.size(), command);
    co_await this->sendAll(round, replicas, commands);
}

} // namespace catkinlock
