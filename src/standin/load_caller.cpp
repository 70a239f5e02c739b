#include "standin/load_caller.h"

#include "catkinlock/address.h"
#include "catkinlock/digest.h"
#include "standin/balancer.h"
#include <boost/asio.hpp>

namespace catkinlock::standin {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 1000 };
    constexpr std::chrono::milliseconds openTimeout { 2000 };
    constexpr std::chrono::milliseconds retryPause { 50 };
    // Statements of a transaction between its begin and its end.
    constexpr unsigned maxTransactionStatements = 5;

    auto asResult() { return asio::as_tuple(asio::use_awaitable); }

    RequestEnd endOf(const boost::system::error_code& error)
    {
        if (error == asio::error::operation_aborted)
            return RequestEnd::GivenUp;
        return error == asio::error::eof ? RequestEnd::Closed : RequestEnd::Reset;
    }

    // Cancels what a socket waits for after some time, unless it is destroyed before.
    class Deadline {
    public:
        Deadline(asio::io_context& context, asio::ip::tcp::socket& socket, std::chrono::milliseconds time)
            : timer(context, time)
        {
            this->timer.async_wait([&socket](boost::system::error_code error) {
                boost::system::error_code ignored;
                if (!error)
                    socket.cancel(ignored);
            });
        }

    private:
        asio::steady_timer timer;
    };

} // namespace

LoadCaller::LoadCaller(asio::io_context& context, std::shared_ptr<Balancer> balancer, std::shared_ptr<CallerLog> log,
    CallerHabit habit, unsigned seed)
    : context(context)
    , balancer(std::move(balancer))
    , log(std::move(log))
    , habit(std::move(habit))
    , random(seed)
    , socket(context)
{
}

LoadCaller::~LoadCaller() = default;

std::chrono::milliseconds LoadCaller::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - this->log->startedAt);
}

void LoadCaller::start()
{
    asio::co_spawn(
        this->context, [self = this->shared_from_this()] { return self->run(); }, asio::detached);
}

asio::awaitable<void> LoadCaller::run()
{
    auto self = this->shared_from_this();
    while (!this->ended) {
        co_await this->pauseFor(this->habit.pause / 2 + this->habit.pause * (this->random() % 1000) / 1000);
        if (!this->ended)
            co_await this->runOperation();
    }
    this->closeSession();
    this->finished = true;
}

void LoadCaller::closeSession()
{
    boost::system::error_code ignored;
    if (this->socket.is_open())
        asio::write(this->socket, asio::buffer("BYE\r\n", 5), ignored);
    this->socket.close(ignored);
    this->received.clear();
}

// Waits, and closes the session if anything arrives meanwhile, the end of the stream included.
asio::awaitable<void> LoadCaller::pauseFor(std::chrono::milliseconds time)
{
    // Told something unasked right after a reply.
    if (!this->received.empty())
        this->closeSession();
    if (!this->socket.is_open()) {
        asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(asResult());
        co_return;
    }
    Deadline deadline(this->context, this->socket, time);
    auto [error] = co_await this->socket.async_wait(asio::ip::tcp::socket::wait_read, asResult());
    if (!error)
        this->socket.close();
}

asio::awaitable<void> LoadCaller::runOperation()
{
    ++this->log->operations;
    bool open = this->socket.is_open();
    if (!open)
        open = co_await this->openSession();
    bool done = open;
    if (open)
        done = co_await this->runStatements();
    this->log->served += done;
    if (!done || this->habit.opensEachTime)
        this->closeSession();
    if (!open)
        co_await this->pauseFor(retryPause);
}

// Sets a value and prepares the statement that the session will run.
asio::awaitable<bool> LoadCaller::prepareSession()
{
    bool done = co_await this->runStatement("SET language ja");
    if (done)
        done = co_await this->runStatement("PREPARE q READ shape");
    co_return done;
}

asio::awaitable<bool> LoadCaller::runStatements()
{
    bool writes = this->draw(this->habit.writes);
    bool inTransaction = this->draw(this->habit.transactions);
    std::string text = writes ? "WRITE item data" : "READ item";
    if (this->habit.opensEachTime) {
        bool prepared = co_await this->prepareSession();
        if (!prepared)
            co_return false;
        text = "EXECUTE q item";
    }
    if (inTransaction) {
        bool committed = co_await this->runTransaction(writes);
        co_return committed;
    }
    bool done = co_await this->runStatement(text);
    if (done && writes)
        this->log->told.insert(this->lastId);
    co_return done;
}

asio::awaitable<bool> LoadCaller::runTransaction(bool writes)
{
    std::string begin = writes ? "BEGIN" : "BEGIN READ";
    bool done = co_await this->runStatement(begin);
    std::vector<std::string> writeIds;
    unsigned statements = 1 + static_cast<unsigned>(this->random()) % maxTransactionStatements;
    for (unsigned i = 1; done && i <= statements; ++i) {
        bool isWrite = writes && i == statements;
        std::string text = isWrite ? "WRITE item data" : "READ item";
        done = co_await this->runStatement(text);
        if (isWrite)
            writeIds.push_back(this->lastId);
    }
    if (!done)
        co_return false;
    done = co_await this->runStatement("COMMIT");
    if (done)
        this->log->told.insert(writeIds.begin(), writeIds.end());
    else if (this->log->requests.back().response.find("ERR ABORTED") != std::string::npos)
        this->log->rolledBack.insert(writeIds.begin(), writeIds.end());
    co_return done;
}

asio::awaitable<bool> LoadCaller::openSession()
{
    auto chosen = this->balancer->choose();
    if (!chosen)
        co_return false;
    this->instance = *chosen;
    this->received.clear();
    this->previousText.clear();
    boost::system::error_code failure;
    {
        Deadline deadline(this->context, this->socket, connectTimeout);
        auto [error] = co_await this->socket.async_connect(
            parseAddress(this->balancer->callerAddress(this->instance)), asResult());
        failure = error;
    }
    if (failure) {
        ++this->log->refusedConnections;
        this->socket.close(failure);
        co_return false;
    }
    this->socket.set_option(asio::ip::tcp::no_delay(true), failure);
    RequestRecord request;
    request.text = "CONNECT";
    std::string message = "CONNECT " + this->habit.database + " key-1\r\n";
    bool opened = co_await this->exchange(std::move(request), std::move(message));
    co_return opened;
}

asio::awaitable<bool> LoadCaller::runStatement(std::string text)
{
    RequestRecord request;
    request.id = randomHex(8);
    request.text = text;
    this->lastId = request.id;
    std::string message = "QUERY " + this->lastId + " " + text + "\r\n";
    bool succeeded = co_await this->exchange(std::move(request), std::move(message));
    co_return succeeded;
}

// True if the request was answered with success.
asio::awaitable<bool> LoadCaller::exchange(RequestRecord request, std::string message)
{
    request.instance = this->instance;
    request.previousText = std::exchange(this->previousText, request.text);
    request.sentAt = this->now();
    bool opens = request.text == "CONNECT";
    bool answered = false;
    {
        Deadline deadline(this->context, this->socket, opens ? openTimeout : this->habit.patience);
        auto [error, size] = co_await asio::async_write(this->socket, asio::buffer(message), asResult());
        request.end = error ? endOf(error) : RequestEnd::Answered;
        if (!error)
            answered = co_await this->readReply(request);
    }
    request.endedAt = this->now();
    bool succeeded = answered && request.response.find("ERR ") == std::string::npos;
    this->log->requests.push_back(std::move(request));
    if (!answered)
        this->socket.close();
    co_return succeeded;
}

// Reads up to the line that ends a reply. False if the connection ends or the caller gives up before.
asio::awaitable<bool> LoadCaller::readReply(RequestRecord& request)
{
    for (;;) {
        auto buffer = asio::dynamic_buffer(this->received);
        auto [error, size] = co_await asio::async_read_until(this->socket, buffer, "\r\n", asResult());
        if (error) {
            bool isRefusedOpening = request.text == "CONNECT" && request.response.starts_with("ERR ");
            request.end = isRefusedOpening ? RequestEnd::Answered : endOf(error);
            co_return isRefusedOpening;
        }
        std::string line = this->received.substr(0, size);
        this->received.erase(0, size);
        request.response += line;
        if (line.starts_with("READY"))
            co_return true;
    }
}

} // namespace catkinlock::standin
