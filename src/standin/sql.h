#pragma once

#include "standin/member.h"
#include <optional>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// What a statement answers.
struct Answer {
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    std::string tag;
    /// SQLSTATE, when the statement failed.
    std::string errorCode;
    std::string errorMessage;
    /// True if the connection has to close without an answer.
    bool loseAnswer = false;
};

using Parameters = std::vector<std::optional<std::string>>;

/// The transaction state and the statements of one client connection. Knows just the statements that the tests send.
class SqlSession {
public:
    explicit SqlSession(std::shared_ptr<GroupMember>);
    ~SqlSession();

    boost::asio::awaitable<Answer> run(const std::string& sql, const Parameters&);
    /// 'I' outside a transaction, 'T' inside one, 'E' inside a failed one.
    char status() const { return this->state; }

private:
    boost::asio::awaitable<Answer> execute(const std::string& sql, const Parameters&);
    boost::asio::awaitable<Answer> insertRequest(const Parameters&);
    Answer commit();
    Answer controlAnswer(bool accepted) const;
    Answer write(Change, std::string tag);
    std::optional<Answer> runControl(const std::string& sql, const Parameters&);
    Answer set(const std::string& name, const std::string& value);
    void reset();

    std::shared_ptr<GroupMember> member;
    char state = 'I';
    bool readOnly = false;
    std::vector<Change> changes;
    std::vector<std::string> keys;
};

} // namespace catkinlock::standin
