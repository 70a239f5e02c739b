#include "libserver/request_pipeline.h"

#include "catkinlock/digest.h"
#include "catkinlock/session_token.h"
#include "libserver/admission.h"
#include "libserver/config_freshness.h"
#include "libserver/forwarder.h"
#include <algorithm>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    // Workspace of requests on open routes, which need no key.
    constexpr const char* openRouteWorkspace = "open";
    constexpr std::uint32_t maxTimeoutMs = 600000;

    tl::unexpected<Refusal> refuse(std::string code, std::string message)
    {
        return tl::unexpected(notRun(std::move(code), std::move(message)));
    }

    CallerOutcome outcomeOf(CallerResult result, std::string workspace)
    {
        return { std::move(result), std::move(workspace) };
    }

} // namespace

struct RequestPipeline::RoutedRequest {
    std::shared_ptr<const Tables> tables;
    const Route* route = nullptr;
    DatabaseRequest request;
};

RequestPipeline::RequestPipeline(Parts parts)
    : parts(std::move(parts))
{
}

tl::expected<RequestPipeline::RoutedRequest, Refusal> RequestPipeline::authenticate(
    const CallerRequest& caller, std::shared_ptr<const Tables> tables) const
{
    auto route = tables->routes.find(caller.route);
    if (route == tables->routes.end())
        return refuse("unknown_route", "the route does not exist");
    RoutedRequest routed { tables, &route->second, {} };
    if (route->second.open) {
        routed.request.workspace = openRouteWorkspace;
        return routed;
    }
    if (caller.key.empty())
        return refuse("key_missing", "the route requires a workspace key in the Authorization header");
    if (!this->parts.freshness->mayTrustKeys())
        return refuse("isolated", "this instance can't confirm that the key is still valid; try another instance");
    auto key = tables->keys.find(sha256Hex(caller.key));
    if (key == tables->keys.end() || key->second.withdrawn)
        return refuse("key_refused", "the key is unknown or was withdrawn");
    const auto& allowed = route->second.workspaces;
    bool mayUse = allowed.empty() || std::find(allowed.begin(), allowed.end(), key->second.workspace) != allowed.end();
    if (!mayUse)
        return refuse("route_refused", "the key's workspace may not use the route");
    routed.request.workspace = key->second.workspace;
    return routed;
}

tl::expected<RequestPipeline::RoutedRequest, Refusal> RequestPipeline::route(
    const CallerRequest& caller, RoutedRequest routed) const
{
    auto pool = routed.tables->pools.find(routed.route->pool);
    if (pool == routed.tables->pools.end())
        return refuse("unknown_pool", "the route's pool does not exist");
    DatabaseRequest& request = routed.request;
    const Database* database = databaseForShard(pool->second, caller.shard.empty() ? request.workspace : caller.shard);
    request.pool = pool->first;
    request.database = database->name;
    request.route = routed.route->name;
    request.kind = caller.settle ? DatabaseRequest::Kind::Settle : DatabaseRequest::Kind::Transaction;
    request.readOnly = routed.route->readOnly;
    request.maxAgeMs = routed.route->maxAgeMs;
    request.repeatable = routed.route->repeatable;
    request.idempotencyKey = caller.idempotencyKey;
    request.statements = caller.statements;
    if (caller.settle && caller.idempotencyKey.empty())
        return refuse("bad_request", "a settle request requires the Idempotency-Key of the request to settle");
    if (caller.timeoutMs && (!*caller.timeoutMs || *caller.timeoutMs > maxTimeoutMs))
        return refuse("deadline", "Catkinlock-Timeout-Ms must be between 1 and 600000");
    Milliseconds timeout = caller.timeoutMs ? Milliseconds(*caller.timeoutMs) : this->parts.defaultTimeout;
    request.deadline = Clock::now() + timeout;
    return routed;
}

tl::expected<RequestPipeline::RoutedRequest, Refusal> RequestPipeline::openSession(
    const CallerRequest& caller, RoutedRequest routed) const
{
    if (caller.sessionToken.empty())
        return routed;
    auto token = decodeSessionToken(caller.sessionToken, this->parts.tokenSecret);
    if (!token)
        return refuse("bad_session", token.error().message);
    DatabaseRequest& request = routed.request;
    if (token->workspace != request.workspace)
        return refuse("foreign_session", "the session token belongs to another workspace");
    if (token->database != request.pool + "/" + request.database)
        return refuse("foreign_session", "the session token belongs to another database");
    request.session = token->position;
    return routed;
}

asio::awaitable<CallerOutcome> RequestPipeline::run(CallerRequest caller)
{
    auto self = this->shared_from_this();
    // The whole request uses one snapshot of the tables, also if they change while it runs.
    auto authenticated = this->authenticate(caller, this->parts.tables->read());
    if (!authenticated)
        co_return outcomeOf(tl::unexpected(authenticated.error()), "");
    std::string workspace = authenticated->request.workspace;
    auto routed = this->route(caller, std::move(*authenticated)).and_then([&](RoutedRequest next) {
        return this->openSession(caller, std::move(next));
    });
    if (!routed)
        co_return outcomeOf(tl::unexpected(routed.error()), workspace);
    auto result = co_await this->admitAndExecute(std::move(*routed));
    co_return outcomeOf(std::move(result), workspace);
}

asio::awaitable<CallerResult> RequestPipeline::admitAndExecute(RoutedRequest routed)
{
    DatabaseRequest& request = routed.request;
    auto workspace = routed.tables->workspaces.find(request.workspace);
    if (workspace != routed.tables->workspaces.end()) {
        request.weight = workspace->second.weight;
        auto admitted = co_await this->parts.admission->admit(request.workspace, request.deadline);
        if (!admitted)
            co_return tl::unexpected(admitted.error());
    } else if (!routed.route->open)
        co_return refuse("unknown_workspace", "the key's workspace does not exist");
    SessionToken token { request.workspace, request.pool + "/" + request.database, {} };
    auto result = co_await this->parts.forwarder->execute(std::move(request));
    if (!result)
        co_return tl::unexpected(result.error());
    token.position = result->session;
    CallerReply reply;
    reply.sessionToken = token.position.term ? encodeSessionToken(token, this->parts.tokenSecret) : "";
    reply.reply = std::move(*result);
    co_return reply;
}

} // namespace catkinlock
