#pragma once

#include "standin/sql.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace catkinlock::standin {

/// The server side of one PostgreSQL connection (protocol 3.0), as far as libpq uses it here. A connection that starts
/// with 'R' is a replica's.
class PgSession : public std::enable_shared_from_this<PgSession> {
public:
    PgSession(boost::asio::ip::tcp::socket, std::shared_ptr<GroupMember>);

    boost::asio::awaitable<void> serve();

private:
    boost::asio::awaitable<bool> startUp();
    boost::asio::awaitable<void> serveMessages();
    boost::asio::awaitable<bool> handle(char type, const std::string& payload);
    boost::asio::awaitable<void> runSimple(const std::string& text);
    boost::asio::awaitable<void> flush();
    void parse(const std::string& payload);
    void bind(const std::string& payload);
    void put(char type, const std::string& payload);
    void putRowDescription(const Answer&);
    void putRows(const Answer&);
    void putError(const Answer&);
    void putReady();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<GroupMember> member;
    SqlSession session;
    std::string out;
    std::string sql;
    Parameters parameters;
    Answer answer;
    bool skipToSync = false;
    bool closed = false;
};

} // namespace catkinlock::standin
