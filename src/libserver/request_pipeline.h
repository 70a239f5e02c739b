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

/// The answer to a caller: what is done, with the session token, or a refusal.
struct CallerReply {
    DatabaseReply reply;
    std::string sessionToken;
};

using CallerResult = tl::expected<CallerReply, Refusal>;

/// What a request came to, and for whom it ran; the workspace is empty if none was authenticated.
struct CallerOutcome {
    CallerResult result;
    std::string workspace;
};

/// The path of a request: authenticate, route, admit, execute. Each step is a filter from one value to the next, or a
/// refusal. The path reads one snapshot of the tables, takes no lock and calls no platform.
class RequestPipeline : public std::enable_shared_from_this<RequestPipeline> {
public:
    struct Parts {
        std::shared_ptr<RcuSnapshot<Tables>> tables;
        std::shared_ptr<Admission> admission;
        std::shared_ptr<ConfigFreshness> freshness;
        std::shared_ptr<Forwarder> forwarder;
        std::string tokenSecret;
        Milliseconds defaultTimeout;
    };

    explicit RequestPipeline(Parts);

    boost::asio::awaitable<CallerOutcome> run(CallerRequest);

private:
    struct Routed;

    tl::expected<Routed, Refusal> authenticate(const CallerRequest&, std::shared_ptr<const Tables>) const;
    tl::expected<Routed, Refusal> route(const CallerRequest&, Routed) const;
    tl::expected<Routed, Refusal> openSession(const CallerRequest&, Routed) const;
    boost::asio::awaitable<CallerResult> admitAndExecute(Routed);

    Parts parts;
};

} // namespace catkinlock
