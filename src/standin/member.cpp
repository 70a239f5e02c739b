#include "standin/member.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <fmt/format.h>
#include <sstream>

namespace catkinlock::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

    // A primary without new entries sends a heartbeat, an empty line, at this interval.
    constexpr milliseconds heartbeatInterval { 50 };
    constexpr milliseconds reconnectDelay { 50 };
    // A replica closes a replication connection on which no line arrived for this time.
    constexpr milliseconds replicationTimeout { 500 };

    auto noThrow(boost::system::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

    tcp::endpoint endpointOf(const std::string& address)
    {
        std::size_t colon = address.rfind(':');
        return { asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
    }

} // namespace

GroupMember::GroupMember(asio::io_context& context, std::string address)
    : context(context)
    , address(std::move(address))
    , lastMessageAt(steady_clock::now())
    , changed(context, steady_clock::time_point::max())
{
}

std::uint64_t GroupMember::lastMessageAgeMs() const
{
    if (this->primary)
        return 0;
    auto elapsed = steady_clock::now() - this->lastMessageAt;
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(elapsed).count());
}

void GroupMember::notify() { this->changed.cancel(); }

asio::awaitable<void> GroupMember::waitForChange(milliseconds limit)
{
    boost::system::error_code error;
    asio::steady_timer timer(this->context, limit);
    using namespace asio::experimental::awaitable_operators;
    co_await (this->changed.async_wait(noThrow(error)) || timer.async_wait(asio::as_tuple(asio::use_awaitable)));
}

asio::awaitable<void> GroupMember::waitFor(std::uint64_t term, std::uint64_t lsn, milliseconds limit)
{
    auto end = steady_clock::now() + limit;
    while (this->log.promised() == term && this->position().lsn < lsn && steady_clock::now() < end)
        co_await this->waitForChange(std::chrono::ceil<milliseconds>(end - steady_clock::now()));
}

bool GroupMember::fence(std::uint64_t term)
{
    if (term <= this->log.promised())
        return false;
    this->log.promise(term);
    this->primary = false;
    // Ends replication: a fenced member must not append entries from the primary of an older term.
    ++this->generation;
    this->notify();
    return true;
}

bool GroupMember::promote(std::uint64_t term)
{
    if (term != this->log.promised())
        return false;
    if (this->primary && this->currentTerm == term)
        return true;
    ++this->generation;
    this->primary = true;
    this->currentTerm = term;
    // Starts the term with an empty entry: earlier entries count as confirmed once a majority holds an entry of the new
    // term.
    this->log.append({ { term, this->log.last().lsn + 1 }, {} });
    this->log.applyTo(this->log.last().lsn);
    this->notify();
    return true;
}

bool GroupMember::follow(std::uint64_t term, const std::string& source)
{
    if (term < this->log.promised() || (this->primary && this->currentTerm == term))
        return false;
    this->log.promise(term);
    this->primary = false;
    ++this->generation;
    asio::co_spawn(this->context, this->replicate(this->generation, term, source), asio::detached);
    this->notify();
    return true;
}

bool GroupMember::commit(std::vector<Change> changes)
{
    if (!this->primary || this->log.promised() != this->currentTerm)
        return false;
    this->log.append({ { this->currentTerm, this->log.last().lsn + 1 }, std::move(changes) });
    this->log.applyTo(this->log.last().lsn);
    this->notify();
    return true;
}

std::string GroupMember::entryTermsText() const
{
    std::string text;
    for (const Entry& entry : this->log.entries())
        text += fmt::format("{} ", entry.position.term);
    return text + "\n";
}

asio::awaitable<void> GroupMember::replicate(std::uint64_t loopGeneration, std::uint64_t term, std::string source)
{
    auto self = this->shared_from_this();
    while (this->generation == loopGeneration) {
        try {
            co_await this->replicateOnce(loopGeneration, term, source);
        } catch (const std::exception&) {
            // The source is unreachable or the connection failed; retried after the delay below.
        }
        asio::steady_timer retryTimer(this->context, reconnectDelay);
        co_await retryTimer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> GroupMember::replicateOnce(std::uint64_t loopGeneration, std::uint64_t term, std::string source)
{
    tcp::socket socket(this->context);
    asio::steady_timer deadline(this->context);
    auto restartDeadline = [&] {
        deadline.expires_after(replicationTimeout);
        deadline.async_wait([&socket](boost::system::error_code error) {
            if (!error)
                socket.close(error);
        });
    };
    restartDeadline();
    co_await socket.async_connect(endpointOf(source), asio::use_awaitable);
    std::string firstLine = fmt::format("R{} ", term) + this->entryTermsText();
    co_await asio::async_write(socket, asio::buffer(firstLine), asio::use_awaitable);
    std::string buffer;
    bool awaitingFirstLine = true;
    while (this->generation == loopGeneration) {
        restartDeadline();
        std::size_t size
            = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), '\n', asio::use_awaitable);
        std::string line = buffer.substr(0, size - 1);
        buffer.erase(0, size);
        if (this->generation != loopGeneration)
            co_return;
        if (!this->faults.cutReplication)
            this->lastMessageAt = steady_clock::now();
        if (awaitingFirstLine) {
            // The source's first line is the sequence number of the last entry that both logs have in common.
            this->log.truncate(std::stoull(line));
            this->log.applyTo(this->log.last().lsn);
            this->currentTerm = term;
            this->notify();
            awaitingFirstLine = false;
            continue;
        }
        auto entry = decodeEntry(line);
        if (!entry)
            continue;
        deadline.cancel();
        if (this->faults.receiveDelayMs) {
            asio::steady_timer delay(this->context, milliseconds(this->faults.receiveDelayMs));
            co_await delay.async_wait(asio::use_awaitable);
        }
        while (this->faults.cutReplication && this->generation == loopGeneration)
            co_await this->waitForChange(heartbeatInterval);
        if (this->generation != loopGeneration)
            co_return;
        std::uint64_t lsn = entry->position.lsn;
        this->log.append(std::move(*entry));
        if (this->faults.applyDelayMs)
            asio::co_spawn(this->context, this->applyAfterDelay(loopGeneration, lsn), asio::detached);
        else
            this->log.applyTo(lsn);
        this->notify();
    }
}

asio::awaitable<void> GroupMember::applyAfterDelay(std::uint64_t loopGeneration, std::uint64_t lsn)
{
    auto self = this->shared_from_this();
    asio::steady_timer timer(this->context, milliseconds(this->faults.applyDelayMs));
    co_await timer.async_wait(asio::use_awaitable);
    // A later replication loop may have truncated this entry, so it must not be applied here. If the entry was kept,
    // that loop applies it after reading the source's first line.
    if (this->generation != loopGeneration)
        co_return;
    this->log.applyTo(lsn);
    this->notify();
}

asio::awaitable<void> GroupMember::serveReplica(tcp::socket& socket, std::string request)
{
    std::istringstream fields(request);
    std::uint64_t term = 0;
    fields >> term;
    if (!this->primary || this->currentTerm != term)
        co_return;
    std::uint64_t commonLsn = 0;
    std::uint64_t entryTerm = 0;
    while (fields >> entryTerm && this->log.termAt(commonLsn + 1) == entryTerm)
        ++commonLsn;
    while (this->faults.cutReplication)
        co_await this->waitForChange(heartbeatInterval);
    std::string firstLine = fmt::format("{}\n", commonLsn);
    co_await asio::async_write(socket, asio::buffer(firstLine), asio::use_awaitable);
    std::uint64_t sent = commonLsn;
    auto lastSentAt = steady_clock::now();
    while (this->primary && this->currentTerm == term) {
        if (this->faults.cutReplication) {
            co_await this->waitForChange(heartbeatInterval);
            continue;
        }
        std::string lines;
        while (sent < this->log.entries().size())
            lines += encodeEntry(this->log.entries()[sent++]);
        if (lines.empty() && steady_clock::now() - lastSentAt >= heartbeatInterval)
            lines = "\n";
        if (!lines.empty()) {
            co_await asio::async_write(socket, asio::buffer(lines), asio::use_awaitable);
            lastSentAt = steady_clock::now();
        }
        if (sent == this->log.entries().size())
            co_await this->waitForChange(heartbeatInterval);
    }
}

} // namespace catkinlock::standin
