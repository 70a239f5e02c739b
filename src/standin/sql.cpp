#include "standin/sql.h"

#include <boost/asio.hpp>
#include <fmt/format.h>
#include <map>

namespace catkinlock::standin {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

    // Separates the digest and the reply in the body of a row of the requests table.
    constexpr char fieldSeparator = '\x1f';

    StatementResult failure(std::string code, std::string message)
    {
        StatementResult result;
        result.errorCode = std::move(code);
        result.errorMessage = std::move(message);
        return result;
    }

    StatementResult completed(std::string tag)
    {
        StatementResult result;
        result.tag = std::move(tag);
        return result;
    }

    std::string textParameter(const Parameters& parameters, std::size_t index)
    {
        return index < parameters.size() ? parameters[index].value_or("") : "";
    }

    std::uint64_t numberParameter(const Parameters& parameters, std::size_t index)
    {
        return std::strtoull(textParameter(parameters, index).c_str(), nullptr, 10);
    }

    // Returns the word after `prefix`, such as a table's name; empty if `prefix` is missing.
    std::string wordAfter(const std::string& sql, const std::string& prefix)
    {
        std::size_t at = sql.find(prefix);
        if (at == std::string::npos)
            return {};
        at += prefix.size();
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
    for (const std::string& key : this->insertedKeys)
        this->member->reservedKeys.erase(key);
    this->insertedKeys.clear();
    this->member->notify();
}

asio::awaitable<StatementResult> SqlSession::run(const std::string& sql, const Parameters& parameters)
{
    if (this->member->faults.statementDelayMs && sql.find("catkinlock.") == std::string::npos) {
        asio::steady_timer delay(this->member->context, milliseconds(this->member->faults.statementDelayMs));
        co_await delay.async_wait(asio::use_awaitable);
    }
    while (this->member->faults.cutClients && sql.find("standin.") == std::string::npos)
        co_await this->member->waitForChange(milliseconds(50));
    StatementResult result = co_await this->execute(sql, parameters);
    if (!result.errorCode.empty() && this->state == 'T')
        this->state = 'E';
    co_return result;
}

asio::awaitable<StatementResult> SqlSession::execute(const std::string& sql, const Parameters& parameters)
{
    if (sql == "ROLLBACK" || sql == "DISCARD ALL") {
        this->reset();
        co_return completed(sql);
    }
    if (sql == "COMMIT")
        co_return this->commit();
    if (this->state == 'E')
        co_return failure("25P02", "current transaction is aborted");
    if (sql.starts_with("BEGIN")) {
        this->state = 'T';
        this->readOnly = sql == "BEGIN READ ONLY";
        co_return completed("BEGIN");
    }
    if (sql.starts_with("SELECT * FROM catkinlock.await(")) {
        co_await this->member->waitFor(numberParameter(parameters, 0), numberParameter(parameters, 1),
            milliseconds(numberParameter(parameters, 2)));
        co_return this->statusResult(true);
    }
    if (auto result = this->runControlFunction(sql, parameters))
        co_return *result;
    if (sql.starts_with("INSERT INTO catkinlock.requests"))
        co_return co_await this->insertRequest(parameters);
    if (sql.starts_with("UPDATE catkinlock.requests")) {
        std::string digest;
        for (const Change& change : this->changes) {
            if (change.table == requestsTable && change.id == textParameter(parameters, 0))
                digest = change.body.substr(0, change.body.find(fieldSeparator));
        }
        co_return this->write(
            { requestsTable, textParameter(parameters, 0), digest + fieldSeparator + textParameter(parameters, 1) },
            "UPDATE 1");
    }
    if (sql.starts_with("SELECT digest, reply FROM catkinlock.requests")) {
        StatementResult result = completed("SELECT 1");
        result.columns = { "digest", "reply" };
        for (const std::string& body : this->member->log.find(requestsTable, textParameter(parameters, 0))) {
            std::size_t separatorAt = body.find(fieldSeparator);
            result.rows.push_back({ body.substr(0, separatorAt), body.substr(separatorAt + 1) });
        }
        co_return result;
    }
    if (sql.starts_with("INSERT INTO "))
        co_return this->write(
            { wordAfter(sql, "INSERT INTO "), textParameter(parameters, 0), textParameter(parameters, 1) },
            "INSERT 0 1");
    if (sql.starts_with("SELECT pg_sleep(")) {
        asio::steady_timer sleep(this->member->context, milliseconds(numberParameter(parameters, 0)));
        co_await sleep.async_wait(asio::use_awaitable);
        co_return completed("SELECT 1");
    }
    bool isCount = sql.starts_with("SELECT count(*) FROM ");
    if (isCount || sql.starts_with("SELECT body FROM ")) {
        std::string table = wordAfter(sql, " FROM ");
        bool wholeTable = sql.find(" WHERE ") == std::string::npos;
        auto bodies = wholeTable ? this->member->log.findAll(table)
                                 : this->member->log.find(table, textParameter(parameters, 0));
        for (const Change& change : this->changes) {
            if (change.table == table && (wholeTable || change.id == textParameter(parameters, 0)))
                bodies.push_back(change.body);
        }
        StatementResult result = completed(fmt::format("SELECT {}", isCount ? 1 : bodies.size()));
        result.columns = { isCount ? "count" : "body" };
        if (isCount)
            result.rows.push_back({ fmt::format("{}", bodies.size()) });
        else
            for (const std::string& body : bodies)
                result.rows.push_back({ body });
        co_return result;
    }
    co_return failure("42601", "statement not supported by the stand-in: " + sql);
}

StatementResult SqlSession::write(Change change, std::string tag)
{
    if (this->readOnly || !this->member->isPrimary())
        return failure("25006", "cannot execute a write in a read-only transaction");
    this->changes.push_back(std::move(change));
    if (this->state != 'I')
        return completed(std::move(tag));
    StatementResult result = this->commit();
    if (result.errorCode.empty())
        result.tag = std::move(tag);
    return result;
}

asio::awaitable<StatementResult> SqlSession::insertRequest(const Parameters& parameters)
{
    std::string key = textParameter(parameters, 0);
    // Waits while another open transaction holds the same key, as an insert into a unique index does.
    while (this->member->reservedKeys.count(key))
        co_await this->member->waitForChange(milliseconds(50));
    StatementResult result = completed("INSERT 0 0");
    result.columns = { "key" };
    if (!this->member->log.find(requestsTable, key).empty())
        co_return result;
    StatementResult written
        = this->write({ requestsTable, key, textParameter(parameters, 1) + fieldSeparator }, "INSERT 0 1");
    if (!written.errorCode.empty())
        co_return written;
    if (this->state == 'T') {
        this->member->reservedKeys.insert(key);
        this->insertedKeys.push_back(key);
    }
    written.columns = { "key" };
    written.rows.push_back({ key });
    co_return written;
}

StatementResult SqlSession::commit()
{
    if (this->state == 'E' || (this->changes.empty() && this->state != 'I')) {
        std::string tag = this->state == 'E' ? "ROLLBACK" : "COMMIT";
        this->reset();
        return completed(tag);
    }
    bool committed = this->changes.empty() || this->member->commit(this->changes);
    this->reset();
    if (!committed)
        return failure("25006", "this member was fenced; the transaction was rolled back");
    StatementResult result = completed("COMMIT");
    if (this->member->faults.loseCommitResponses) {
        --this->member->faults.loseCommitResponses;
        result.closeWithoutResponse = true;
    }
    return result;
}

StatementResult SqlSession::statusResult(bool accepted) const
{
    const GroupMember& member = *this->member;
    StatementResult result = completed("SELECT 1");
    result.columns = { "accepted", "is_primary", "promised", "term", "lsn", "log_term", "applied_lsn", "heard_ms" };
    result.rows.push_back({ accepted ? "t" : "f", member.isPrimary() ? "t" : "f",
        fmt::format("{}", member.log.promised()), fmt::format("{}", member.position().term),
        fmt::format("{}", member.position().lsn), fmt::format("{}", member.log.last().term),
        fmt::format("{}", member.log.applied()), fmt::format("{}", member.lastMessageAgeMs()) });
    return result;
}

std::optional<StatementResult> SqlSession::runControlFunction(const std::string& sql, const Parameters& parameters)
{
    const std::string prefix = "SELECT * FROM ";
    if (!sql.starts_with(prefix))
        return std::nullopt;
    std::string name = sql.substr(prefix.size(), sql.find('(') - prefix.size());
    if (name == "catkinlock.status" || name == "catkinlock.position")
        return this->statusResult(true);
    if (name == "catkinlock.fence")
        return this->statusResult(this->member->fence(numberParameter(parameters, 0)));
    if (name == "catkinlock.promote")
        return this->statusResult(this->member->promote(numberParameter(parameters, 0)));
    if (name == "catkinlock.follow")
        return this->statusResult(this->member->follow(numberParameter(parameters, 0), textParameter(parameters, 1)));
    if (name == "standin.set")
        return this->setFault(textParameter(parameters, 0), textParameter(parameters, 1));
    return std::nullopt;
}

StatementResult SqlSession::setFault(const std::string& name, const std::string& value)
{
    MemberFaults& faults = this->member->faults;
    std::map<std::string, std::uint32_t*> fields { { "lag_ms", &faults.applyDelayMs },
        { "receive_ms", &faults.receiveDelayMs }, { "delay_ms", &faults.statementDelayMs },
        { "connect_ms", &faults.connectDelayMs }, { "lose_commit_answers", &faults.loseCommitResponses },
        { "cut_replication", &faults.cutReplication }, { "cut_clients", &faults.cutClients } };
    auto field = fields.find(name);
    if (field == fields.end())
        return failure("22023", "unknown fault: " + name);
    *field->second = static_cast<std::uint32_t>(std::strtoul(value.c_str(), nullptr, 10));
    this->member->notify();
    return completed("SELECT 1");
}

} // namespace catkinlock::standin
