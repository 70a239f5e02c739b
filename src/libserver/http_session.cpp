#include "libserver/http_session.h"

#include "catkinlock/caller_limit_log.h"
#include "catkinlock/result_json.h"
#include <array>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace catkinlock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {

    using BeastRequest = http::request<http::string_body>;
    using BeastResponse = http::response<http::string_body>;

    constexpr const char* routePrefix = "/v1/";
    constexpr const char* transactionSuffix = "/transaction";
    constexpr const char* settleSuffix = "/settle";
    constexpr std::size_t maxIdempotencyKeyBytes = 256;
    // While a request is served, its body is held up to this many times: as received, as JSON, as the request's
    // statements and as they are sent to the members.
    constexpr std::uint64_t requestCopies = 4;

    // HTTP status of each refusal code. Other codes get 503, unknown outcomes 504.
    struct CodeStatus {
        std::string_view code;
        http::status status;
    };

    constexpr std::array<CodeStatus, 13> statusOfCodes { {
        { "bad_request", http::status::bad_request },
        { "bad_session", http::status::bad_request },
        { "statement_failed", http::status::unprocessable_entity },
        { "answer_too_large", http::status::unprocessable_entity },
        { "key_missing", http::status::unauthorized },
        { "key_refused", http::status::unauthorized },
        { "route_refused", http::status::forbidden },
        { "foreign_session", http::status::forbidden },
        { "unknown_route", http::status::not_found },
        { "key_reused", http::status::conflict },
        { "settled_not_run", http::status::conflict },
        { "rate_exceeded", http::status::too_many_requests },
        { "body_too_large", http::status::payload_too_large },
    } };

    http::status statusOf(const Refusal& refusal)
    {
        if (refusal.outcome == Outcome::Unknown)
            return http::status::gateway_timeout;
        for (const CodeStatus& entry : statusOfCodes) {
            if (entry.code == refusal.code)
                return entry.status;
        }
        return http::status::service_unavailable;
    }

    BeastResponse makeResponse(http::status status, const char* type, std::string body)
    {
        BeastResponse response(status, 11);
        response.set(http::field::content_type, type);
        response.body() = std::move(body);
        return response;
    }

    BeastResponse refusalResponse(const Refusal& refusal)
    {
        http::status status = statusOf(refusal);
        json::object problem { { "type", "about:blank" }, { "title", refusal.code },
            { "status", static_cast<unsigned>(status) }, { "detail", refusal.message }, { "code", refusal.code },
            { "outcome", outcomeName(refusal.outcome) } };
        BeastResponse response = makeResponse(status, "application/problem+json", json::serialize(problem));
        if (status == http::status::too_many_requests || status == http::status::service_unavailable)
            response.set(http::field::retry_after, "1");
        return response;
    }

    BeastResponse replyResponse(const CallerReply& done)
    {
        std::string body = "{\"outcome\":\"done\",\"repeated\":";
        body += done.reply.repeated ? "true" : "false";
        body += ",\"session\":" + json::serialize(json::string(done.sessionToken));
        body += ",\"from_replica\":";
        body += done.reply.fromReplica ? "true" : "false";
        body += ",\"results\":" + writeResults(done.reply.results) + "}";
        BeastResponse response = makeResponse(http::status::ok, "application/json", std::move(body));
        if (!done.sessionToken.empty())
            response.set("Catkinlock-Session", done.sessionToken);
        return response;
    }

    std::string headerOf(const BeastRequest& request, std::string_view name)
    {
        auto found = request.find(beast::string_view(name.data(), name.size()));
        return found == request.end() ? "" : std::string(found->value());
    }

    tl::unexpected<Refusal> badRequest(std::string message)
    {
        return tl::unexpected(notRun("bad_request", std::move(message)));
    }

    // Reads the route and the kind of request from the path: /v1/ROUTE/transaction or /v1/ROUTE/settle.
    tl::expected<CallerRequest, Refusal> readPath(const BeastRequest& request)
    {
        std::string path(request.target());
        CallerRequest caller;
        caller.settle = path.ends_with(settleSuffix);
        std::string_view suffix = caller.settle ? settleSuffix : transactionSuffix;
        std::string_view prefix = routePrefix;
        bool matches
            = path.starts_with(prefix) && path.ends_with(suffix) && path.size() > prefix.size() + suffix.size();
        if (!matches)
            return badRequest("the path must be /v1/ROUTE/transaction or /v1/ROUTE/settle");
        if (request.method() != http::verb::post)
            return badRequest("the method must be POST");
        caller.route = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
        return caller;
    }

    tl::expected<CallerRequest, Refusal> readHeaders(const BeastRequest& request, CallerRequest caller)
    {
        std::string authorization = headerOf(request, "Authorization");
        std::string_view scheme = "Bearer ";
        if (!authorization.empty() && !authorization.starts_with(scheme))
            return badRequest("Authorization must be Bearer KEY");
        if (!authorization.empty())
            caller.key = authorization.substr(scheme.size());
        caller.sessionToken = headerOf(request, "Catkinlock-Session");
        caller.idempotencyKey = headerOf(request, "Idempotency-Key");
        if (caller.idempotencyKey.size() > maxIdempotencyKeyBytes)
            return badRequest("Idempotency-Key must have at most 256 bytes");
        std::string timeout = headerOf(request, "Catkinlock-Timeout-Ms");
        if (!timeout.empty()) {
            std::uint32_t milliseconds = 0;
            auto [end, error] = std::from_chars(timeout.data(), timeout.data() + timeout.size(), milliseconds);
            if (error != std::errc() || end != timeout.data() + timeout.size())
                return badRequest("Catkinlock-Timeout-Ms must be a whole number of milliseconds");
            caller.timeoutMs = milliseconds;
        }
        return caller;
    }

    tl::expected<CallerRequest, Refusal> readBody(const BeastRequest& request, CallerRequest caller)
    {
        if (caller.settle && request.body().empty())
            return caller;
        if (auto parsed = parseCallerBody(request.body(), caller); !parsed)
            return badRequest(parsed.error().message);
        return caller;
    }

    tl::expected<CallerRequest, Refusal> readCallerRequest(const BeastRequest& request)
    {
        return readPath(request)
            .and_then([&](CallerRequest caller) { return readHeaders(request, std::move(caller)); })
            .and_then([&](CallerRequest caller) { return readBody(request, std::move(caller)); });
    }

} // namespace

struct HttpSession::Parser : http::request_parser<http::string_body> { };

struct HttpSession::Stream {
    explicit Stream(asio::ip::tcp::socket socket)
        : tcp(std::move(socket))
    {
    }
    beast::tcp_stream tcp;
    beast::flat_buffer buffer;
};

HttpSession::HttpSession(
    asio::ip::tcp::socket socket, std::shared_ptr<HttpContext> context, std::shared_ptr<CallerCharge> charge)
    : stream(std::make_unique<Stream>(std::move(socket)))
    , context(std::move(context))
    , charge(std::move(charge))
{
    ++this->context->openConnections;
    boost::system::error_code ignored;
    this->stream->tcp.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

HttpSession::~HttpSession() { --this->context->openConnections; }

asio::awaitable<void> HttpSession::run()
{
    auto self = this->shared_from_this();
    while (co_await this->serveRequest()) { }
    boost::system::error_code ignored;
    this->stream->tcp.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

// Charges what has arrived of a request. False if the request met a limit.
bool HttpSession::chargeReceived(const Parser& parser)
{
    std::uint64_t bytes = this->stream->buffer.capacity() + parser.get().body().size();
    auto limit = this->charge->hold(CallerCharge::Part::Received, bytes);
    if (limit)
        reportCallerLimit(*this->context->budget, *limit, "http", this->charge->address(), this->charge->bytes());
    return !limit;
}

asio::awaitable<boost::system::error_code> HttpSession::readRequest(std::shared_ptr<Parser> parser)
{
    while (!parser->is_done()) {
        auto [error, size] = co_await http::async_read_some(
            this->stream->tcp, this->stream->buffer, *parser, asio::as_tuple(asio::use_awaitable));
        if (error)
            co_return error;
        if (!this->chargeReceived(*parser))
            co_return make_error_code(boost::system::errc::no_buffer_space);
    }
    std::uint64_t bytes = requestCopies * parser->get().body().size();
    auto limit = this->charge->hold(CallerCharge::Part::Statement, bytes);
    boost::system::error_code done;
    if (!limit)
        co_return done;
    reportCallerLimit(*this->context->budget, *limit, "http", this->charge->address(), this->charge->bytes());
    co_return make_error_code(boost::system::errc::no_buffer_space);
}

asio::awaitable<bool> HttpSession::serveRequest()
{
    // The parser is kept on the heap and freed once the request is read, so that it takes no memory while the request
    // is served.
    auto parser = std::make_shared<Parser>();
    parser->header_limit(this->context->limits.headerBytes);
    parser->body_limit(this->context->limits.bodyBytes);
    this->stream->tcp.expires_after(this->context->limits.idleTimeout);
    auto readError = co_await this->readRequest(parser);
    bool overLimit = readError == make_error_code(boost::system::errc::no_buffer_space);
    bool tooLarge = readError == http::error::body_limit || readError == http::error::header_limit;
    bool malformed = readError.category() == make_error_code(http::error::bad_method).category();
    if (readError && (readError == http::error::end_of_stream || (!tooLarge && !malformed && !overLimit)))
        co_return false;
    ++this->context->inFlight;
    auto startedAt = Clock::now();
    BeastResponse response;
    bool keepAlive = !readError;
    if (overLimit)
        response = refusalResponse(notRun("memory_limit", "the memory of this instance for callers is used up"));
    else if (readError)
        response = refusalResponse(tooLarge
                ? notRun("body_too_large", "the request's header or body exceeds the size limit of this instance")
                : notRun("bad_request", "malformed HTTP request: " + readError.message()));
    else {
        BeastRequest request = parser->release();
        parser.reset();
        keepAlive = request.keep_alive();
        if (request.method() == http::verb::get) {
            auto [code, body] = co_await this->context->page(std::string(request.target()));
            response = makeResponse(static_cast<http::status>(code), "text/plain", std::move(body));
        } else {
            auto caller = readCallerRequest(request);
            std::string route = caller ? caller->route : "";
            CallerOutcome outcome { tl::unexpected(caller ? Refusal {} : caller.error()), "" };
            this->stream->tcp.expires_never();
            if (caller)
                outcome = co_await this->context->pipeline->run(std::move(*caller));
            const CallerResult& result = outcome.result;
            response = result ? replyResponse(*result) : refusalResponse(result.error());
            this->context->observe(
                route, outcome.workspace, result ? nullptr : &result.error(), Clock::now() - startedAt);
        }
    }
    parser.reset();
    this->charge->record(CallerCharge::Part::Received, this->stream->buffer.capacity());
    this->charge->record(CallerCharge::Part::Statement, 0);
    this->charge->record(CallerCharge::Part::Reply, response.body().size());
    keepAlive = keepAlive && !this->context->closing;
    response.keep_alive(keepAlive);
    response.prepare_payload();
    this->stream->tcp.expires_after(this->context->limits.idleTimeout);
    auto [writeError, written]
        = co_await http::async_write(this->stream->tcp, response, asio::as_tuple(asio::use_awaitable));
    --this->context->inFlight;
    this->charge->record(CallerCharge::Part::Reply, 0);
    co_return keepAlive && !writeError;
}

} // namespace catkinlock
