#include "standin/sql.h"

#include <boost/asio.hpp>
#include <fmt/format.h>
#include <map>

namespace catkinlock::standin {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

    // Separates the digest from the reply in a row of the requests table.
    constexpr char fieldSeparator = '\x1f';

    Answer failure(std::string code, std::string message)
    {
        Answer answer;
        answer.errorCode = std::move(code);
        answer.errorMessage = std::move(message);
        return answer;
    }

    Answer done(std::string tag)
    {
        Answer answer;
        answer.tag = std::move(tag);
        return answer;
    }

    std::string textOf(const Parameters& parameters, std::size_t index)
    {
        return index < parameters.size() ? parameters[index].value_or("") : "";
    }

    std::uint64_t numberOf(const Parameters& parameters, std::size_t index)
    {
        return std::strtoull(textOf(parameters, index).c_str(), nullptr, 10);
    }

    // The word after `before`, such as a table's name.
    std::string wordAfter(const std::string& sql, const std::string& before)
    {
        std::size_t at = sql.find(before);
        if (at == std::string::npos)
            return {};
        at += before.size();
        return sql.substr(at, sql.find(' ', at) - at);
    }

} // namespace

SqlSession::SqlSession(std::shared_ptr<GroupMember> member)
    : member(std::move(member))
{
}

SqlSession::~SqlSession() { this->reset(); }

void SqlSession::reset()
{
    this->state = 'I';
    this->readOnly = false;
    this->changes.clear();
    for (const std::string& key : this->keys)
        this->member->reservedKeys.erase(key);
    this->keys.clear();
    this->member->notify();
}

asio::awaitable<Answer> SqlSession::run(const std::string& sql, const Parameters& parameters)
{
    if (this->member->faults.delayMs && sql.find("catkinlock.") == std::string::npos) {
        asio::steady_timer delay(this->member->context, milliseconds(this->member->faults.delayMs));
        co_await delay.async_wait(asio::use_awaitable);
    }
    while (this->member->faults.cutClients && sql.find("standin.") == std::string::npos)
        co_await this->member->waitForChange(milliseconds(50));
    Answer answer = co_await this->execute(sql, parameters);
    if (!answer.errorCode.empty() && this->state == 'T')
        this->state = 'E';
    co_return answer;
}

asio::awaitable<Answer> SqlSession::execute(const std::string& sql, const Parameters& parameters)
{
    if (sql == "ROLLBACK" || sql == "DISCARD ALL") {
        this->reset();
        co_return done(sql);
    }
    if (sql == "COMMIT")
        co_return this->commit();
    if (this->state == 'E')
        co_return failure("25P02", "current transaction is aborted");
    if (sql.starts_with("BEGIN")) {
        this->state = 'T';
        this->readOnly = sql == "BEGIN READ ONLY";
        co_return done("BEGIN");
    }
    if (sql.starts_with("SELECT * FROM catkinlock.await(")) {
        co_await this->member->waitFor(
            numberOf(parameters, 0), numberOf(parameters, 1), milliseconds(numberOf(parameters, 2)));
        co_return this->controlAnswer(true);
    }
    if (auto answer = this->runControl(sql, parameters))
        co_return *answer;
    if (sql.starts_with("INSERT INTO catkinlock.requests"))
        co_return co_await this->insertRequest(parameters);
    if (sql.starts_with("UPDATE catkinlock.requests")) {
        std::string digest;
        for (const Change& change : this->changes) {
            if (change.table == requestsTable && change.id == textOf(parameters, 0))
                digest = change.body.substr(0, change.body.find(fieldSeparator));
        }
        co_return this->write(
            { requestsTable, textOf(parameters, 0), digest + fieldSeparator + textOf(parameters, 1) }, "UPDATE 1");
    }
    if (sql.starts_with("SELECT digest, reply FROM catkinlock.requests")) {
        Answer answer = done("SELECT 1");
        answer.columns = { "digest", "reply" };
        for (const std::string& body : this->member->log.find(requestsTable, textOf(parameters, 0))) {
            std::size_t split = body.find(fieldSeparator);
            answer.rows.push_back({ body.substr(0, split), body.substr(split + 1) });
        }
        co_return answer;
    }
    if (sql.starts_with("INSERT INTO "))
        co_return this->write(
            { wordAfter(sql, "INSERT INTO "), textOf(parameters, 0), textOf(parameters, 1) }, "INSERT 0 1");
    if (sql.starts_with("SELECT pg_sleep(")) {
        asio::steady_timer sleep(this->member->context, milliseconds(numberOf(parameters, 0)));
        co_await sleep.async_wait(asio::use_awaitable);
        co_return done("SELECT 1");
    }
    bool counts = sql.starts_with("SELECT count(*) FROM ");
    if (counts || sql.starts_with("SELECT body FROM ")) {
        std::string table = wordAfter(sql, " FROM ");
        bool whole = sql.find(" WHERE ") == std::string::npos;
        auto bodies = whole ? this->member->log.all(table) : this->member->log.find(table, textOf(parameters, 0));
        for (const Change& change : this->changes) {
            if (change.table == table && (whole || change.id == textOf(parameters, 0)))
                bodies.push_back(change.body);
        }
        Answer answer = done(fmt::format("SELECT {}", counts ? 1 : bodies.size()));
        answer.columns = { counts ? "count" : "body" };
        if (counts)
            answer.rows.push_back({ fmt::format("{}", bodies.size()) });
        else
            for (const std::string& body : bodies)
                answer.rows.push_back({ body });
        co_return answer;
    }
    co_return failure("42601", "the stand-in does not know this statement: " + sql);
}

Answer SqlSession::write(Change change, std::string tag)
{
    if (this->readOnly || !this->member->isPrimary())
        return failure("25006", "cannot execute a write in a read-only transaction");
    this->changes.push_back(std::move(change));
    if (this->state != 'I')
        return done(std::move(tag));
    Answer answer = this->commit();
    if (answer.errorCode.empty())
        answer.tag = std::move(tag);
    return answer;
}

asio::awaitable<Answer> SqlSession::insertRequest(const Parameters& parameters)
{
    std::string key = textOf(parameters, 0);
    // Like a unique index, waits for the open transaction that inserted the same key.
    while (this->member->reservedKeys.count(key))
        co_await this->member->waitForChange(milliseconds(50));
    Answer answer = done("INSERT 0 0");
    answer.columns = { "key" };
    if (!this->member->log.find(requestsTable, key).empty())
        co_return answer;
    Answer written = this->write({ requestsTable, key, textOf(parameters, 1) + fieldSeparator }, "INSERT 0 1");
    if (!written.errorCode.empty())
        co_return written;
    if (this->state == 'T') {
        this->member->reservedKeys.insert(key);
        this->keys.push_back(key);
    }
    written.columns = { "key" };
    written.rows.push_back({ key });
    co_return written;
}

Answer SqlSession::commit()
{
    if (this->state == 'E' || (this->changes.empty() && this->state != 'I')) {
        std::string tag = this->state == 'E' ? "ROLLBACK" : "COMMIT";
        this->reset();
        return done(tag);
    }
    bool committed = this->changes.empty() || this->member->commit(this->changes);
    this->reset();
    if (!committed)
        return failure("25006", "this member was fenced; the transaction was rolled back");
    Answer answer = done("COMMIT");
    if (this->member->faults.loseCommitAnswers) {
        --this->member->faults.loseCommitAnswers;
        answer.loseAnswer = true;
    }
    return answer;
}

Answer SqlSession::controlAnswer(bool accepted) const
{
    const GroupMember& member = *this->member;
    Answer answer = done("SELECT 1");
    answer.columns = { "accepted", "is_primary", "promised", "term", "lsn", "log_term", "applied_lsn", "heard_ms" };
    answer.rows.push_back({ accepted ? "t" : "f", member.isPrimary() ? "t" : "f",
        fmt::format("{}", member.log.promised()), fmt::format("{}", member.position().term),
        fmt::format("{}", member.position().lsn), fmt::format("{}", member.log.last().term),
        fmt::format("{}", member.log.applied()), fmt::format("{}", member.heardMs()) });
    return answer;
}

std::optional<Answer> SqlSession::runControl(const std::string& sql, const Parameters& parameters)
{
    const std::string prefix = "SELECT * FROM ";
    if (!sql.starts_with(prefix))
        return std::nullopt;
    std::string name = sql.substr(prefix.size(), sql.find('(') - prefix.size());
    if (name == "catkinlock.status" || name == "catkinlock.position")
        return this->controlAnswer(true);
    if (name == "catkinlock.fence")
        return this->controlAnswer(this->member->fence(numberOf(parameters, 0)));
    if (name == "catkinlock.promote")
        return this->controlAnswer(this->member->promote(numberOf(parameters, 0)));
    if (name == "catkinlock.follow")
        return this->controlAnswer(this->member->follow(numberOf(parameters, 0), textOf(parameters, 1)));
    if (name == "standin.set")
        return this->set(textOf(parameters, 0), textOf(parameters, 1));
    return std::nullopt;
}

Answer SqlSession::set(const std::string& name, const std::string& value)
{
    MemberFaults& faults = this->member->faults;
    std::map<std::string, std::uint32_t*> fields { { "lag_ms", &faults.lagMs }, { "receive_ms", &faults.receiveMs },
        { "delay_ms", &faults.delayMs }, { "connect_ms", &faults.connectMs },
        { "lose_commit_answers", &faults.loseCommitAnswers }, { "cut_replication", &faults.cutReplication },
        { "cut_clients", &faults.cutClients } };
    auto field = fields.find(name);
    if (field == fields.end())
        return failure("22023", "no such fault: " + name);
    *field->second = static_cast<std::uint32_t>(std::strtoul(value.c_str(), nullptr, 10));
    this->member->notify();
    return done("SELECT 1");
}

} // namespace catkinlock::standin
