#include "standin/line_member.h"

#include "catkinlock/address.h"
#include "platform/line_codec.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock::standin {

namespace asio = boost::asio;

struct LineMember::Connection {
    explicit Connection(asio::ip::tcp::socket given)
        : socket(std::move(given))
    {
    }
    asio::ip::tcp::socket socket;
    std::string received;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
    // Writes of the open transaction, by item.
    std::map<std::string, std::string> pending;
    std::vector<std::string> pendingIds;
    TransactionState state = TransactionState::Idle;
};

namespace {

    std::string firstWord(std::string& text)
    {
        std::size_t end = std::min(text.find(' '), text.size());
        std::string word = text.substr(0, end);
        text.erase(0, std::min(end + 1, text.size()));
        return word;
    }

} // namespace

LineMember::LineMember(asio::io_context& context, std::shared_ptr<LineGroup> group, std::size_t index, std::string id)
    : context(context)
    , group(std::move(group))
    , index(index)
    , id(std::move(id))
    , acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
}

std::string LineMember::start()
{
    asio::co_spawn(
        this->context, [self = this->shared_from_this()] { return self->accept(); }, asio::detached);
    return formatAddress(this->acceptor.local_endpoint());
}

asio::awaitable<void> LineMember::refuse(std::shared_ptr<Connection> connection)
{
    std::string text = "ERR CONNLIMIT full\r\n";
    co_await asio::async_write(connection->socket, asio::buffer(text), asio::as_tuple(asio::use_awaitable));
    // The caller reads the refusal before the connection ends.
    std::array<char, 256> rest {};
    co_await connection->socket.async_read_some(asio::buffer(rest), asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> LineMember::accept()
{
    auto self = this->shared_from_this();
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return;
        auto connection = std::make_shared<Connection>(std::move(socket));
        if (this->openConnections >= this->mostConnections) {
            asio::co_spawn(
                this->context, [connection] { return refuse(connection); }, asio::detached);
            continue;
        }
        ++this->openConnections;
        asio::co_spawn(
            this->context,
            [self, connection]() -> asio::awaitable<void> {
                co_await self->serve(connection);
                --self->openConnections;
            },
            asio::detached);
    }
}

std::string LineMember::reportRow() const
{
    const char* role = this->group->primary == this->index ? "primary" : "replica";
    const Position& at = this->group->position;
    return fmt::format("ROW {} {} {}.{} {} 0 0 1\r\n", role, at.term, at.term, at.lsn, this->termHeld);
}

// The rows and the end of an answer, without the state.
std::string LineMember::answer(Connection& connection, const SessionStatement& statement)
{
    std::string rest = statement.text;
    std::string word = firstWord(rest);
    if (word == "AFTER") {
        firstWord(rest);
        word = firstWord(rest);
    }
    bool leads = this->group->primary == this->index;
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
        if (word == "PAUSE" || word == "STEPDOWN")
            this->termHeld = std::stoull(rest);
        if (word == "STEPDOWN" && leads)
            this->group->primary = SIZE_MAX;
        return this->reportRow() + "DONE -\r\n";
    }
    if (word == "EXECUTE") {
        std::string name = firstWord(rest);
        if (!connection.prepared.count(name))
            return "ERR NOSTMT unknown\r\n";
        word = connection.prepared[name].starts_with("WRITE") ? "WRITE" : "READ";
    }
    bool writes = word == "WRITE" || (word == "BEGIN" && rest.empty());
    if (writes && !leads)
        return "ERR READONLY replica\r\n";
    if (word == "SET") {
        std::string name = firstWord(rest);
        connection.values[name] = rest;
    } else if (word == "PREPARE") {
        std::string name = firstWord(rest);
        connection.prepared[name] = rest;
    } else if (word == "RESET") {
        connection.values.clear();
        connection.prepared.clear();
    } else if (word == "BEGIN")
        connection.state = TransactionState::Open;
    else if (word == "ROLLBACK") {
        connection.pending.clear();
        connection.pendingIds.clear();
        connection.state = TransactionState::Idle;
    } else if (word == "READ") {
        std::string item = firstWord(rest);
        // The session's value of "tag" is part of what a read shows, so that a foreign one is seen.
        return fmt::format("ROW {}{}\r\nDONE s\r\n", this->group->items[item], connection.values["tag"]);
    } else if (word == "WRITE") {
        std::string item = firstWord(rest);
        connection.pending[item] = rest;
        connection.pendingIds.push_back(statement.id);
    }
    bool commits = word == "COMMIT" || (word == "WRITE" && connection.state == TransactionState::Idle);
    if (commits) {
        for (const auto& [item, data] : connection.pending)
            this->group->items[item] = data;
        for (const std::string& writeId : connection.pendingIds)
            this->group->committed.push_back(writeId);
        this->group->position.lsn += !connection.pending.empty();
        connection.pending.clear();
        connection.pendingIds.clear();
        connection.state = TransactionState::Idle;
    }
    bool proven = word == "COMMIT" || word == "WRITE";
    return proven ? "DONE s\r\n" : "DONE -\r\n";
}

asio::awaitable<void> LineMember::serve(std::shared_ptr<Connection> connection)
{
    auto self = this->shared_from_this();
    platform::LineCallerProtocol protocol;
    std::string chunk(4096, '\0');
    static constexpr std::array<char, 3> states { 'I', 'T', 'E' };
    for (;;) {
        auto message = protocol.take(connection->received);
        if (!message) {
            auto [error, size]
                = co_await connection->socket.async_read_some(asio::buffer(chunk), asio::as_tuple(asio::use_awaitable));
            if (error)
                co_return;
            connection->received.append(chunk, 0, size);
            continue;
        }
        // A dark member takes what comes and says nothing.
        if (this->dark)
            continue;
        std::string out;
        if (auto* statement = std::get_if<SessionStatement>(&*message))
            out = this->answer(*connection, *statement);
        if (this->answerDelay.count()) {
            asio::steady_timer timer(this->context, this->answerDelay);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        const Position& at = this->group->position;
        out += fmt::format("READY {} {}.{}\r\n", states[static_cast<std::size_t>(connection->state)], at.term, at.lsn);
        auto [error, size]
            = co_await asio::async_write(connection->socket, asio::buffer(out), asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return;
    }
}

} // namespace catkinlock::standin
