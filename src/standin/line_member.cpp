#include "standin/line_member.h"

#include "catkinlock/address.h"
#include "platform/line_codec.h"
#include <boost/asio.hpp>
#include <fmt/format.h>

namespace catkinlock::standin {

namespace asio = boost::asio;

struct LineMember::Connection {
    explicit Connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }
    asio::ip::tcp::socket socket;
    std::string received;
    // Values by name, set by SET.
    std::map<std::string, std::string> sessionValues;
    // Prepared statements by name.
    std::map<std::string, std::string> prepared;
    // Uncommitted writes by item.
    std::map<std::string, std::string> pendingWrites;
    // Statement ids of the uncommitted writes.
    std::vector<std::string> pendingWriteIds;
    TransactionState state = TransactionState::Idle;
};

namespace {

    // Removes the first word and the space after it from the text, and returns the word.
    std::string takeWord(std::string& text)
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

asio::awaitable<void> LineMember::refuseConnection(std::shared_ptr<Connection> connection)
{
    std::string text = "ERR CONNLIMIT full\r\n";
    co_await asio::async_write(connection->socket, asio::buffer(text), asio::as_tuple(asio::use_awaitable));
    // Reads the client's first message, or the end of the connection, before closing: closing a socket with unread
    // input resets the connection, and the client could lose the refusal.
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
        if (this->openConnections >= this->maxConnections) {
            asio::co_spawn(
                this->context, [connection] { return refuseConnection(connection); }, asio::detached);
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

std::string LineMember::statusRow() const
{
    const char* role = this->group->primary == this->index ? "primary" : "replica";
    const Position& position = this->group->position;
    return fmt::format(
        "ROW {} {} {}.{} {} 0 0 1\r\n", role, position.term, position.term, position.lsn, this->fencedTerm);
}

// Executes a statement and returns the ROW lines and the DONE or ERR line of its response; `serve` adds the READY line.
std::string LineMember::execute(Connection& connection, const SessionStatement& statement)
{
    std::string rest = statement.text;
    std::string word = takeWord(rest);
    // The position of AFTER is ignored, since replicas never lag.
    if (word == "AFTER") {
        takeWord(rest);
        word = takeWord(rest);
    }
    bool isPrimary = this->group->primary == this->index;
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
        if (word == "PAUSE" || word == "STEPDOWN")
            this->fencedTerm = std::stoull(rest);
        if (word == "STEPDOWN" && isPrimary)
            this->group->primary = SIZE_MAX;
        return this->statusRow() + "DONE -\r\n";
    }
    if (word == "EXECUTE") {
        std::string name = takeWord(rest);
        if (!connection.prepared.count(name))
            return "ERR NOSTMT unknown\r\n";
        word = connection.prepared[name].starts_with("WRITE") ? "WRITE" : "READ";
    }
    bool isWrite = word == "WRITE" || (word == "BEGIN" && rest.empty());
    if (isWrite && !isPrimary)
        return "ERR READONLY replica\r\n";
    if (word == "SET") {
        std::string name = takeWord(rest);
        connection.sessionValues[name] = rest;
    } else if (word == "PREPARE") {
        std::string name = takeWord(rest);
        connection.prepared[name] = rest;
    } else if (word == "RESET") {
        connection.sessionValues.clear();
        connection.prepared.clear();
    } else if (word == "BEGIN")
        connection.state = TransactionState::Open;
    else if (word == "ROLLBACK") {
        connection.pendingWrites.clear();
        connection.pendingWriteIds.clear();
        connection.state = TransactionState::Idle;
    } else if (word == "READ") {
        std::string item = takeWord(rest);
        // Appends the connection's value "tag", so that a test notices a value left by another session.
        return fmt::format("ROW {}{}\r\nDONE s\r\n", this->group->items[item], connection.sessionValues["tag"]);
    } else if (word == "WRITE") {
        std::string item = takeWord(rest);
        connection.pendingWrites[item] = rest;
        connection.pendingWriteIds.push_back(statement.id);
    }
    bool commits = word == "COMMIT" || (word == "WRITE" && connection.state == TransactionState::Idle);
    if (commits) {
        for (const auto& [item, data] : connection.pendingWrites)
            this->group->items[item] = data;
        for (const std::string& writeId : connection.pendingWriteIds)
            this->group->committedWriteIds.push_back(writeId);
        this->group->position.lsn += !connection.pendingWrites.empty();
        connection.pendingWrites.clear();
        connection.pendingWriteIds.clear();
        connection.state = TransactionState::Idle;
    }
    // A DONE line carries the signature that proves the execution of a statement, here "s", or "-" if there is none.
    bool isSigned = word == "COMMIT" || word == "WRITE";
    return isSigned ? "DONE s\r\n" : "DONE -\r\n";
}

asio::awaitable<void> LineMember::serve(std::shared_ptr<Connection> connection)
{
    auto self = this->shared_from_this();
    platform::LineCallerProtocol protocol;
    std::string chunk(4096, '\0');
    static constexpr std::array<char, 3> stateLetters { 'I', 'T', 'E' };
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
        // An unresponsive member discards the message.
        if (this->unresponsive)
            continue;
        std::string response;
        if (auto* statement = std::get_if<SessionStatement>(&*message))
            response = this->execute(*connection, *statement);
        if (this->responseDelay.count()) {
            asio::steady_timer timer(this->context, this->responseDelay);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        const Position& position = this->group->position;
        response += fmt::format("READY {} {}.{}\r\n", stateLetters[static_cast<std::size_t>(connection->state)],
            position.term, position.lsn);
        auto [error, size] = co_await asio::async_write(
            connection->socket, asio::buffer(response), asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return;
    }
}

} // namespace catkinlock::standin
