#include "catkinlock/operator_client.h"

#include "catkinlock/address.h"
#include "catkinlock/command.h"
#include "libserver/config_follower.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <thread>

namespace catkinlock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr Milliseconds callTimeout { 3000 };
    // An edit is not retried after this time.
    constexpr Milliseconds editTimeout { 10000 };
    constexpr Milliseconds retryDelay { 200 };

} // namespace

struct OperatorClient::Connection {
    explicit Connection(const std::string& address)
        : platform(std::make_shared<PlatformClient>(context, address, callTimeout))
    {
    }

    // Runs the context until the call completes and returns the call's result.
    template <typename Result> Result await(asio::awaitable<Result> call)
    {
        std::optional<Result> result;
        asio::co_spawn(
            this->context, std::move(call), [&result](std::exception_ptr, Result value) { result = std::move(value); });
        this->context.restart();
        this->context.run();
        return std::move(*result);
    }

    asio::io_context context;
    std::shared_ptr<PlatformClient> platform;
};

OperatorClient::OperatorClient(const std::string& platformAddress)
    : connection(std::make_unique<Connection>(platformAddress))
{
}

OperatorClient::~OperatorClient() = default;

PlatformResult<KeyRange> OperatorClient::list(const std::string& prefix)
{
    auto range = this->connection->await(this->connection->platform->readPrefix(tablePrefix + prefix));
    if (range) {
        for (KeyValue& value : range->values)
            value.key = value.key.substr(std::string_view(tablePrefix).size());
    }
    return range;
}

PlatformResult<std::optional<KeyValue>> OperatorClient::show(const std::string& key)
{
    return this->connection->await(this->connection->platform->read(tablePrefix + key));
}

EditResult OperatorClient::edit(const std::string& key, std::int64_t baseRevision,
    const std::optional<std::string>& value, const std::vector<std::string>& required, std::string& detail)
{
    std::vector<std::string> requiredKeys;
    requiredKeys.reserve(required.size());
    for (const std::string& name : required)
        requiredKeys.push_back(tablePrefix + name);
    bool mayHaveRun = false;
    TimePoint deadline = Clock::now() + editTimeout;
    for (;;) {
        auto swapped = this->connection->await(this->connection->platform->compareAndSwap(
            tablePrefix + key, baseRevision, value, 0, requiredKeys, tablesEditedKey));
        if (swapped && swapped->swapped) {
            detail = fmt::format("in force from revision {}", swapped->revision);
            return EditResult::Done;
        }
        mayHaveRun = mayHaveRun || (!swapped && swapped.error().mayHaveRun);
        auto found = this->show(key);
        if (found) {
            std::int64_t revision = *found ? (*found)->revision : 0;
            bool hasOurValue = value ? *found && (*found)->value == *value : !*found;
            if (mayHaveRun && revision != baseRevision && hasOurValue) {
                detail = fmt::format(
                    "in force from revision {}; the response was lost, and the entry was read back", revision);
                return EditResult::Done;
            }
            if (revision != baseRevision) {
                detail = fmt::format("{} is at revision {}, not {}; show it and base the edit on its current revision",
                    key, revision, baseRevision);
                return EditResult::Conflict;
            }
            if (swapped) {
                detail = fmt::format("{} refers to an entry that does not exist", key);
                return EditResult::Failed;
            }
        }
        if (Clock::now() >= deadline) {
            detail = mayHaveRun
                ? "the platform's response was lost and the entry can't be read back; show the entry before any retry"
                : "nothing was changed: " + swapped.error().message;
            return mayHaveRun ? EditResult::Unknown : EditResult::Failed;
        }
        std::this_thread::sleep_for(retryDelay);
    }
}

int reportEdit(EditResult result, const std::string& detail)
{
    switch (result) {
    case EditResult::Done:
        fmt::print("done: {}\n", detail);
        return ExitDone;
    case EditResult::Conflict:
        fmt::print(stderr, "conflict, nothing was changed: {}\n", detail);
        return ExitConflict;
    case EditResult::Unknown:
        fmt::print(stderr, "unknown: {}\n", detail);
        return ExitUnknown;
    case EditResult::Failed:
        break;
    }
    fmt::print(stderr, "failed: {}\n", detail);
    return ExitFailed;
}

bool readFile(const std::string& path, std::string& text)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    text = content.str();
    if (!file)
        fmt::print(stderr, "{}: can't be read\n", path.empty() ? "--file" : path);
    return static_cast<bool>(file);
}

bool loadSettings(const std::string& path, Settings& settings)
{
    std::string text;
    if (path.empty()) {
        fmt::print(stderr, "--settings FILE is missing\n");
        return false;
    }
    if (!readFile(path, text))
        return false;
    auto parsed = parseSettings(text, path);
    if (!parsed) {
        for (const Error& error : parsed.error())
            fmt::print(stderr, "{}\n", error.message);
        return false;
    }
    settings = *parsed;
    return true;
}

tl::expected<std::string, Error> fetchPage(const std::string& address, const std::string& path)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, address);
    http::response<http::string_body> response;
    boost::system::error_code error;
    stream.connect(parseAddress(address), error);
    if (!error)
        http::write(stream, request, error);
    if (!error)
        http::read(stream, buffer, response, error);
    if (error)
        return tl::unexpected(Error { fmt::format("{}: {}", address, error.message()) });
    return response.body();
}

} // namespace catkinlock
