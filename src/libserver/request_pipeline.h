#pragma once

#include "catkinlock/caller_request.h"
#include "catkinlock/database_request.h"
#include "catkinlock/rcu_snapshot.h"
#include "catkinlock/tables.h"
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace catkinlock {

class Admission;
class ConfigFreshness;
class Forwarder;

/// The reply to a request that succeeded.
struct CallerReply {
    DatabaseReply reply;
    /// Token for the session's next request; empty if the reply has no position.
    std::string sessionToken;
};

using CallerResult = tl::expected<CallerReply, Refusal>;

/// The result of a request and the workspace that it ran for; the workspace is empty if authentication failed.
struct CallerOutcome {
    CallerResult result;
    std::string workspace;
};

/// Runs a caller's request: authenticates, routes, admits and executes it. Each step returns the input of the next one,
/// or a refusal that ends the request. A request reads one snapshot of the tables; it takes no lock and makes no call
/// to the platform.
class RequestPipeline : public std::enable_shared_from_this<RequestPipeline> {
public:
    struct Parts {
        std::shared_ptr<RcuSnapshot<Tables>> tables;
        std::shared_ptr<Admission> admission;
        std::shared_ptr<ConfigFreshness> freshness;
        std::shared_ptr<Forwarder> forwarder;
        /// Secret that session tokens are authenticated with.
        std::string tokenSecret;
        /// Timeout of requests for which the caller states none.
        Milliseconds defaultTimeout;
    };

    explicit RequestPipeline(Parts);

    /// Runs a request to its outcome. May be awaited on any thread.
    boost::asio::awaitable<CallerOutcome> run(CallerRequest);

private:
    // A request, as far as the steps have filled it in, with its route and the tables that it uses.
    struct RoutedRequest;

    // Checks the route and the caller's key, and determines the workspace.
    tl::expected<RoutedRequest, Refusal> authenticate(const CallerRequest&, std::shared_ptr<const Tables>) const;
    // Selects the database and fills in the request.
    tl::expected<RoutedRequest, Refusal> route(const CallerRequest&, RoutedRequest) const;
    // Verifies the session token, if any, and takes the session's position from it.
    tl::expected<RoutedRequest, Refusal> openSession(const CallerRequest&, RoutedRequest) const;
    boost::asio::awaitable<CallerResult> admitAndExecute(RoutedRequest);

    Parts parts;
};

} // namespace catkinlock
