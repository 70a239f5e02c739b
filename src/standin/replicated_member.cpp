#include "standin/replicated_member.h"

#include "catkinlock/address.h"
#include "platform/line_codec.h"
#include "standin/replicated_group.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock::standin {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds pollInterval { 5 };
    constexpr std::chrono::milliseconds slotPollInterval { 2 };
    constexpr std::chrono::milliseconds commitTimeout { 5000 };

    std::int64_t unixMilliseconds()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    // Removes the first word and the space after it from the text, and returns the word.
    std::string takeWord(std::string& text)
    {
        std::size_t end = std::min(text.find(' '), text.size());
        std::string word = text.substr(0, end);
        text.erase(0, std::min(end + 1, text.size()));
        return word;
    }

    std::string readyLine(TransactionState state, const Position& position)
    {
        static constexpr std::array<char, 3> stateLetters { 'I', 'T', 'E' };
        return fmt::format(
            "READY {} {}.{}\r\n", stateLetters[static_cast<std::size_t>(state)], position.term, position.lsn);
    }

} // namespace

struct ReplicatedMember::Connection {
    explicit Connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }
    asio::ip::tcp::socket socket;
    std::string received;
    // Ids of the uncommitted writes.
    std::vector<std::string> writeIds;
    TransactionState state = TransactionState::Idle;
    // Run of the member that accepted the connection.
    unsigned run = 0;
};

ReplicatedMember::ReplicatedMember(asio::io_context& context, ReplicatedGroup& group, std::string id)
    : context(context)
    , group(group)
    , memberId(std::move(id))
    , acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , startedAt(unixMilliseconds())
{
}

void ReplicatedMember::start()
{
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->context, [self] { return self->accept(); }, asio::detached);
    asio::co_spawn(
        this->context, [self] { return self->sendHeartbeats(); }, asio::detached);
}

void ReplicatedMember::freeze(std::chrono::milliseconds time)
{
    this->frozenUntil = std::chrono::steady_clock::now() + time;
}

void ReplicatedMember::goDark(std::chrono::milliseconds time)
{
    ++this->run;
    this->paused = false;
    this->darkUntil = std::chrono::steady_clock::now() + time;
}

void ReplicatedMember::loseStore(std::chrono::milliseconds time)
{
    this->storeLostUntil = std::chrono::steady_clock::now() + time;
}

void ReplicatedMember::restartEmpty()
{
    ++this->run;
    this->log.clear();
    this->term = 1;
    this->fencedTerm = 0;
    this->primary = false;
    this->paused = false;
    this->startedAt = unixMilliseconds();
}

void ReplicatedMember::handOver(std::string id)
{
    ++this->run;
    this->group.eraseEntry(this->memberId);
    this->memberId = std::move(id);
    this->primary = false;
    this->paused = false;
    this->draining = false;
    this->startedAt = unixMilliseconds();
    for (const auto& weak : std::exchange(this->connections, {})) {
        if (auto connection = weak.lock())
            connection->socket.close();
    }
}

asio::awaitable<void> ReplicatedMember::sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> ReplicatedMember::awaitRunning()
{
    while (this->isSilent())
        co_await this->sleepFor(pollInterval);
}

std::string ReplicatedMember::entry() const
{
    return fmt::format(
        R"({{"service":"{}","address":"{}","zone":"{}","slots":8,"state":"{}","dbRole":"{}","born":{},"coldLeftMs":{}}})",
        this->group.service(), formatAddress(this->acceptor.local_endpoint()), this->dataCentre,
        this->draining ? "draining" : "ready", this->primary ? "primary" : "replica", this->startedAt,
        this->remainingWarmUpMs());
}

std::int64_t ReplicatedMember::remainingWarmUpMs() const
{
    auto now = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(this->warmUntil, now) - now).count();
}

asio::awaitable<void> ReplicatedMember::sendHeartbeats()
{
    auto self = this->shared_from_this();
    for (;;) {
        if (!this->isSilent() && std::chrono::steady_clock::now() >= this->storeLostUntil)
            this->group.recordHeartbeat(this->memberId, this->entry());
        co_await this->sleepFor(pollInterval * 4);
    }
}

asio::awaitable<void> ReplicatedMember::accept()
{
    auto self = this->shared_from_this();
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return;
        auto connection = std::make_shared<Connection>(std::move(socket));
        connection->run = this->run;
        std::erase_if(this->connections, [](const auto& weak) { return weak.expired(); });
        this->connections.push_back(connection);
        asio::co_spawn(
            this->context, [self, connection] { return self->serve(connection); }, asio::detached);
    }
}

asio::awaitable<void> ReplicatedMember::serve(std::shared_ptr<Connection> connection)
{
    auto self = this->shared_from_this();
    platform::LineCallerProtocol protocol;
    std::string chunk(4096, '\0');
    for (;;) {
        co_await this->awaitRunning();
        if (connection->run != this->run)
            co_return;
        auto message = protocol.take(connection->received);
        if (!message) {
            auto [error, size]
                = co_await connection->socket.async_read_some(asio::buffer(chunk), asio::as_tuple(asio::use_awaitable));
            if (error)
                co_return;
            connection->received.append(chunk, 0, size);
            continue;
        }
        auto* opening = std::get_if<OpenSession>(&*message);
        if (opening && !opening->key.ends_with(" " + this->memberId))
            co_return;
        std::string response;
        if (auto* statement = std::get_if<SessionStatement>(&*message))
            response = co_await this->execute(connection, *statement);
        response += readyLine(connection->state, this->position());
        co_await this->awaitRunning();
        if (connection->run != this->run)
            co_return;
        auto [error, size] = co_await asio::async_write(
            connection->socket, asio::buffer(response), asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return;
    }
}

std::string ReplicatedMember::runCommand(const std::string& word, std::uint64_t commandTerm)
{
    if (word == "PAUSE" && !this->primary && commandTerm > this->term)
        this->paused = true;
    if (word == "STEPDOWN" && this->primary && commandTerm > this->term)
        this->primary = false;
    if (word == "RESUME")
        this->paused = false;
    if (word != "STATUS")
        this->group.recordEvent(fmt::format("{} gets {} {} in term {}", this->memberId, word, commandTerm, this->term));
    if (word == "PAUSE")
        this->fencedTerm = std::max(this->fencedTerm, commandTerm);
    Position last = this->position();
    return fmt::format("ROW {} {} {}.{} {} 0 0 1\r\nDONE -\r\n", this->primary ? "primary" : "replica", this->term,
        last.term, last.lsn, this->fencedTerm);
}

void ReplicatedMember::follow(const ReplicatedMember& primary)
{
    this->log = primary.log;
    this->term = primary.term;
}

// Appends a commit and waits until a replica has received it, unless the run in which it was requested has ended.
asio::awaitable<std::string> ReplicatedMember::commit(std::vector<std::string> writeIds, unsigned ownRun)
{
    auto deadline = std::chrono::steady_clock::now() + commitTimeout;
    std::uint64_t ownTerm = this->term;
    if (this->run != ownRun)
        co_return "";
    Commit added { { ownTerm, this->position().lsn + 1 }, std::move(writeIds) };
    this->log.push_back(added);
    while (std::chrono::steady_clock::now() < deadline) {
        co_await this->awaitRunning();
        if (!this->primary || this->term != ownTerm || this->run != ownRun)
            break;
        if (this->group.replicate(*this)) {
            this->group.recordAcknowledged(*this, added);
            co_return "DONE s\r\n";
        }
        co_await this->sleepFor(pollInterval);
    }
    co_return "ERR TIMEOUT no replica has received the commit\r\n";
}

// Executes a statement and returns the ROW lines and the DONE or ERR line of its response.
asio::awaitable<std::string> ReplicatedMember::execute(
    std::shared_ptr<Connection> connection, SessionStatement statement)
{
    this->group.recordSeen(statement.id);
    bool taken = co_await this->takeSlot();
    if (!taken)
        co_return "ERR BUSY no slot\r\n";
    std::string response = co_await this->executeInSlot(std::move(connection), std::move(statement));
    --this->running;
    co_return response;
}

// False if too many others wait.
asio::awaitable<bool> ReplicatedMember::takeSlot()
{
    if (this->running >= this->capacity.slots && this->waiting >= this->capacity.queue)
        co_return false;
    ++this->waiting;
    while (this->running >= this->capacity.slots)
        co_await this->sleepFor(slotPollInterval);
    --this->waiting;
    ++this->running;
    co_return true;
}

asio::awaitable<std::string> ReplicatedMember::executeInSlot(
    std::shared_ptr<Connection> connection, SessionStatement statement)
{
    std::string rest = statement.text;
    std::string word = takeWord(rest);
    if (word == "AFTER") {
        std::string after = takeWord(rest);
        word = takeWord(rest);
        std::size_t dot = after.find('.');
        if (Position { std::stoull(after.substr(0, dot)), std::stoull(after.substr(dot + 1)) } > this->position())
            co_return "ERR LAGGING behind\r\n";
    }
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
        co_await this->sleepFor(this->commandTime);
        co_return this->runCommand(word, rest.empty() ? 0 : std::stoull(rest));
    }
    // Only reads are prepared by the tests' callers.
    if (word == "EXECUTE")
        word = "READ";
    bool inTransaction = connection->state == TransactionState::Open;
    bool needsPrimary
        = word == "WRITE" || (word == "BEGIN" && rest.empty()) || (word == "COMMIT" && !connection->writeIds.empty());
    if (needsPrimary && !this->primary) {
        connection->state = inTransaction ? TransactionState::Failed : connection->state;
        co_return "ERR READONLY replica\r\n";
    }
    if (word == "BEGIN")
        connection->state = TransactionState::Open;
    bool works = word == "READ" || word == "WRITE" || word == "COMMIT";
    if (works || word == "BEGIN") {
        this->lastWorkAt = std::chrono::steady_clock::now();
        ++this->workCount;
    }
    if (!works) {
        if (word == "ROLLBACK") {
            connection->state = TransactionState::Idle;
            connection->writeIds.clear();
        }
        co_return "DONE -\r\n";
    }
    co_await this->sleepFor(this->workTime);
    if (word == "WRITE")
        connection->writeIds.push_back(statement.id);
    bool commits = word == "COMMIT" || (word == "WRITE" && !inTransaction);
    if (!commits)
        co_return word == "READ" ? "ROW v\r\nDONE s\r\n" : "DONE s\r\n";
    connection->state = TransactionState::Idle;
    std::vector<std::string> writeIds = std::exchange(connection->writeIds, {});
    if (writeIds.empty())
        co_return "DONE s\r\n";
    co_return co_await this->commit(std::move(writeIds), connection->run);
}

} // namespace catkinlock::standin
