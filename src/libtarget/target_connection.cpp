#include "catkinlock/target_connection.h"

#include <boost/asio.hpp>
#include <charconv>
#include <fmt/format.h>
#include <libpq-fe.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    using ResultPointer = std::unique_ptr<PGresult, decltype(&PQclear)>;

    ResultPointer takeResult(PGconn* connection) { return ResultPointer(PQgetResult(connection), &PQclear); }

    std::size_t valueBytes(const PGresult* result)
    {
        std::size_t size = 0;
        for (int row = 0; row < PQntuples(result); ++row) {
            for (int column = 0; column < PQnfields(result); ++column)
                size += static_cast<std::size_t>(PQgetlength(result, row, column));
        }
        return size;
    }

    ResultSet readRows(PGresult* result)
    {
        ResultSet set;
        int columns = PQnfields(result);
        for (int column = 0; column < columns; ++column)
            set.columns.emplace_back(PQfname(result, column));
        for (int row = 0; row < PQntuples(result); ++row) {
            auto& values = set.rows.emplace_back();
            for (int column = 0; column < columns; ++column) {
                if (PQgetisnull(result, row, column))
                    values.emplace_back();
                else
                    values.emplace_back(std::string(
                        PQgetvalue(result, row, column), static_cast<std::size_t>(PQgetlength(result, row, column))));
            }
        }
        set.affected = std::strtoull(PQcmdTuples(result), nullptr, 10);
        return set;
    }

    TargetError rejection(const PGresult* result)
    {
        const char* code = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        const char* message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        return { TargetError::Kind::Rejected, code ? code : "", message ? message : PQresultErrorMessage(result) };
    }

    TargetError tooLarge(std::size_t limit)
    {
        return { TargetError::Kind::TooLarge, "",
            fmt::format("the result is larger than the limit of {} bytes", limit) };
    }

    TargetError abortedByEarlierStatement()
    {
        return { TargetError::Kind::Rejected, "25P02", "an earlier statement failed" };
    }

} // namespace

struct TargetConnection::State {
    explicit State(asio::any_io_executor executor)
        : descriptor(executor)
        , timer(executor)
    {
    }
    PGconn* connection = nullptr;
    asio::posix::stream_descriptor descriptor;
    asio::steady_timer timer;
};

TargetConnection::TargetConnection(asio::any_io_executor executor, std::size_t maxResponseBytes)
    : state(std::make_unique<State>(executor))
    , maxResponseBytes(maxResponseBytes)
{
}

TargetConnection::~TargetConnection() { this->close(); }

void TargetConnection::close()
{
    this->state->timer.cancel();
    // libpq owns the descriptor and closes it in PQfinish.
    if (this->state->descriptor.is_open())
        this->state->descriptor.release();
    if (this->state->connection)
        PQfinish(this->state->connection);
    this->state->connection = nullptr;
}

bool TargetConnection::isOpen() const
{
    return this->state->connection && PQstatus(this->state->connection) == CONNECTION_OK;
}

bool TargetConnection::isIdle() const
{
    return this->isOpen() && PQtransactionStatus(this->state->connection) == PQTRANS_IDLE;
}

TargetError TargetConnection::lost(const std::string& operation)
{
    const char* detail = this->state->connection ? PQerrorMessage(this->state->connection) : "";
    TargetError error { TargetError::Kind::Lost, "",
        fmt::format("{}: {}", operation, *detail ? detail : "the deadline passed or the connection was closed") };
    this->close();
    return error;
}

void TargetConnection::armTimer(TimePoint deadline)
{
    this->state->timer.expires_after(deadline - Clock::now());
    std::weak_ptr<TargetConnection> self = this->weak_from_this();
    this->state->timer.async_wait([self](boost::system::error_code error) {
        auto connection = self.lock();
        if (!error && connection && connection->state->descriptor.is_open())
            connection->state->descriptor.cancel();
    });
}

asio::awaitable<bool> TargetConnection::waitReadable()
{
    if (this->state->timer.expiry() <= asio::steady_timer::clock_type::now())
        co_return false;
    auto [error] = co_await this->state->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read, asio::as_tuple(asio::use_awaitable));
    co_return !error && this->state->connection;
}

asio::awaitable<bool> TargetConnection::waitWritable()
{
    if (this->state->timer.expiry() <= asio::steady_timer::clock_type::now())
        co_return false;
    auto [error] = co_await this->state->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_write, asio::as_tuple(asio::use_awaitable));
    co_return !error && this->state->connection;
}

asio::awaitable<tl::expected<void, TargetError>> TargetConnection::connect(std::string address, TimePoint deadline)
{
    auto self = this->shared_from_this();
    std::size_t colon = address.rfind(':');
    std::string host = address.substr(0, colon);
    std::string port = address.substr(colon + 1);
    const char* keywords[]
        = { "hostaddr", "port", "dbname", "user", "sslmode", "gssencmode", "client_encoding", nullptr };
    const char* values[]
        = { host.c_str(), port.c_str(), "catkinlock", "catkinlock", "disable", "disable", "UTF8", nullptr };
    this->state->connection = PQconnectStartParams(keywords, values, 0);
    PGconn* connection = this->state->connection;
    if (!connection || PQstatus(connection) == CONNECTION_BAD)
        co_return tl::unexpected(this->lost("cannot connect to " + address));
    this->armTimer(deadline);
    PostgresPollingStatusType polling = PGRES_POLLING_WRITING;
    while (polling != PGRES_POLLING_OK) {
        if (polling == PGRES_POLLING_FAILED)
            co_return tl::unexpected(this->lost("cannot connect to " + address));
        // PQconnectPoll may have replaced the socket.
        if (this->state->descriptor.is_open())
            this->state->descriptor.release();
        this->state->descriptor.assign(PQsocket(connection));
        bool ready = false;
        if (polling == PGRES_POLLING_READING)
            ready = co_await this->waitReadable();
        else
            ready = co_await this->waitWritable();
        if (!ready)
            co_return tl::unexpected(this->lost("cannot connect to " + address));
        polling = PQconnectPoll(connection);
    }
    if (!this->state->descriptor.is_open())
        this->state->descriptor.assign(PQsocket(connection));
    this->state->timer.cancel();
    PQsetnonblocking(connection, 1);
    PQenterPipelineMode(connection);
    co_return tl::expected<void, TargetError> {};
}

asio::awaitable<bool> TargetConnection::flush()
{
    for (;;) {
        int unsent = PQflush(this->state->connection);
        if (unsent <= 0)
            co_return unsent == 0;
        if (!co_await this->waitWritable())
            co_return false;
    }
}

asio::awaitable<tl::expected<ResultSet, TargetError>> TargetConnection::readResult(std::size_t& budget)
{
    tl::expected<ResultSet, TargetError> outcome;
    for (;;) {
        while (PQisBusy(this->state->connection)) {
            if (!co_await this->waitReadable() || !PQconsumeInput(this->state->connection))
                co_return tl::unexpected(this->lost("the target's response was not received"));
        }
        ResultPointer result = takeResult(this->state->connection);
        if (!result)
            co_return outcome;
        ExecStatusType status = PQresultStatus(result.get());
        if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK) {
            std::size_t size = valueBytes(result.get());
            if (size > budget) {
                this->close();
                co_return tl::unexpected(tooLarge(this->maxResponseBytes));
            }
            budget -= size;
            outcome = readRows(result.get());
        } else if (status == PGRES_PIPELINE_ABORTED)
            outcome = tl::unexpected(abortedByEarlierStatement());
        else if (PQstatus(this->state->connection) != CONNECTION_OK)
            co_return tl::unexpected(this->lost("the connection to the target broke"));
        else
            outcome = tl::unexpected(rejection(result.get()));
    }
}

asio::awaitable<bool> TargetConnection::readUntilSync()
{
    for (;;) {
        while (PQisBusy(this->state->connection)) {
            if (!co_await this->waitReadable() || !PQconsumeInput(this->state->connection))
                co_return false;
        }
        ResultPointer result = takeResult(this->state->connection);
        if (result && PQresultStatus(result.get()) == PGRES_PIPELINE_SYNC)
            co_return true;
        if (PQstatus(this->state->connection) != CONNECTION_OK)
            co_return false;
    }
}

asio::awaitable<tl::expected<std::vector<ResultSet>, TargetError>> TargetConnection::run(
    std::vector<Statement> statements, TimePoint deadline, bool resetFirst)
{
    auto self = this->shared_from_this();
    if (!this->isOpen())
        co_return tl::unexpected(this->lost("the connection to the target is closed"));
    this->armTimer(deadline);
    bool sent = true;
    if (resetFirst)
        sent = PQsendQueryParams(this->state->connection, "DISCARD ALL", 0, nullptr, nullptr, nullptr, nullptr, 0)
            && PQpipelineSync(this->state->connection);
    for (const Statement& statement : statements) {
        std::vector<const char*> values;
        for (const auto& parameter : statement.parameters)
            values.push_back(parameter ? parameter->c_str() : nullptr);
        sent = sent
            && PQsendQueryParams(this->state->connection, statement.sql.c_str(), static_cast<int>(values.size()),
                nullptr, values.data(), nullptr, nullptr, 0);
    }
    sent = sent && PQpipelineSync(this->state->connection);
    if (sent)
        sent = co_await this->flush();
    if (!sent)
        co_return tl::unexpected(this->lost("cannot send to the target"));
    std::vector<ResultSet> results;
    std::optional<TargetError> failure;
    std::size_t budget = this->maxResponseBytes;
    if (resetFirst) {
        auto reset = co_await this->readResult(budget);
        if (!reset || !co_await this->readUntilSync())
            co_return tl::unexpected(this->lost("the connection's session state could not be discarded"));
    }
    for (std::size_t i = 0; i < statements.size(); ++i) {
        auto result = co_await this->readResult(budget);
        if (!result && result.error().kind != TargetError::Kind::Rejected)
            co_return tl::unexpected(result.error());
        if (result)
            results.push_back(std::move(*result));
        else if (!failure)
            failure = result.error();
    }
    if (!co_await this->readUntilSync())
        co_return tl::unexpected(this->lost("the target's response was not received"));
    this->state->timer.cancel();
    if (failure)
        co_return tl::unexpected(*failure);
    co_return results;
}

asio::awaitable<tl::expected<ResultSet, TargetError>> TargetConnection::runOne(Statement statement, TimePoint deadline)
{
    std::vector<Statement> statements;
    statements.push_back(std::move(statement));
    auto results = co_await this->run(std::move(statements), deadline);
    if (!results)
        co_return tl::unexpected(results.error());
    co_return std::move(results->front());
}

Statement rollbackStatement() { return { "ROLLBACK", {} }; }

Statement statusStatement() { return { "SELECT * FROM catkinlock.status()", {} }; }

namespace {

    // The value in `column` of the only row; null if there is none.
    const std::string* valueOf(const ResultSet& result, const std::string& column)
    {
        for (std::size_t i = 0; i < result.columns.size(); ++i) {
            if (result.columns[i] == column && result.rows.size() == 1 && result.rows[0][i])
                return &*result.rows[0][i];
        }
        return nullptr;
    }

    bool readNumber(const ResultSet& result, const std::string& column, std::uint64_t& out)
    {
        const std::string* text = valueOf(result, column);
        if (!text)
            return false;
        auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), out);
        return error == std::errc() && end == text->data() + text->size();
    }

} // namespace

tl::expected<MemberStatus, TargetError> parseStatus(const ResultSet& result)
{
    MemberStatus status;
    const std::string* primary = valueOf(result, "is_primary");
    bool complete = primary && readNumber(result, "promised", status.promisedTerm)
        && readNumber(result, "term", status.position.term) && readNumber(result, "lsn", status.position.lsn)
        && readNumber(result, "log_term", status.logTerm) && readNumber(result, "applied_lsn", status.appliedLsn)
        && readNumber(result, "heard_ms", status.sincePrimaryMessageMs);
    if (!complete)
        return tl::unexpected(TargetError { TargetError::Kind::Rejected, "",
            "the status returned by the target lacks a column or holds a malformed number" });
    status.isPrimary = *primary == "t";
    return status;
}

bool wasAccepted(const ResultSet& result)
{
    const std::string* accepted = valueOf(result, "accepted");
    return accepted && *accepted == "t";
}

} // namespace catkinlock
