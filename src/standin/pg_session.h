#pragma once

#include "standin/sql.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace catkinlock::standin {

/// The server side of one PostgreSQL connection (protocol 3.0), reduced to the messages that libpq sends in the tests.
/// The same port serves replication: a connection whose first byte is 'R' comes from a replica.
class PgSession : public std::enable_shared_from_this<PgSession> {
public:
    PgSession(boost::asio::ip::tcp::socket, std::shared_ptr<GroupMember>);

    /// Serves the connection until the client closes it or it fails.
    boost::asio::awaitable<void> serve();

private:
    /// Handles the start of the connection. Returns false if it was a replica's and has been served.
    boost::asio::awaitable<bool> startUp();
    boost::asio::awaitable<void> serveMessages();
    /// Handles one message. Returns false if the connection has to be closed.
    boost::asio::awaitable<bool> handle(char type, const std::string& payload);
    /// Runs the statements of a simple query (message Query), up to the first that fails.
    boost::asio::awaitable<void> runSimple(const std::string& text);
    boost::asio::awaitable<void> flush();
    void parse(const std::string& payload);
    void bind(const std::string& payload);
    void put(char type, const std::string& payload);
    void putRowDescription(const StatementResult&);
    void putRows(const StatementResult&);
    void putError(const StatementResult&);
    void putReady();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<GroupMember> member;
    SqlSession session;
    std::string sendBuffer;
    /// Statement of the last Parse message.
    std::string parsedSql;
    /// Parameters of the last Bind message.
    Parameters parameters;
    /// Result of the last Describe message, sent by Execute.
    StatementResult describedResult;
    /// Set after an error in the extended query protocol: messages are ignored until Sync.
    bool skipToSync = false;
    /// Set if the connection has to be closed without a response.
    bool closed = false;
};

} // namespace catkinlock::standin
