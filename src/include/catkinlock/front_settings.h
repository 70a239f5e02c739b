#pragma once

#include "catkinlock/caller_limit_settings.h"
#include "catkinlock/clock.h"
#include "catkinlock/error.h"
#include "catkinlock/view_budget.h"
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace catkinlock {

/// Settings of an instance that serves sessions, read from its TOML file. Ranges are those that `parseFrontSettings`
/// accepts.
struct FrontSettings {
    std::string name;
    std::string dataCentre;
    /// "ip:port" on which callers open sessions.
    std::string callerAddress;
    /// "ip:port" of the readiness endpoint, which the load balancer polls.
    std::string readyAddress;
    /// Path of the readiness endpoint.
    std::string readyPath;
    /// "ip:port" of the metrics page. Empty means none.
    std::string metricsAddress;
    /// "ip:port" on which other instances connect.
    std::string peerAddress;
    /// Name of the adapter that implements the platform's protocols and document formats.
    std::string adapter;
    /// "ip:port" of the platform's metadata store.
    std::string storeAddress;
    /// "ip:port" of the platform's promotion service.
    std::string promotionAddress;
    /// Processor cores that the instance may use, above 0; 0 if that is not known. Instances with more hold the slots.
    double cores = 0;
    /// Secret that all instances share, at least 16 characters.
    std::string fleetSecret;
    /// Number of slots that the workspaces' rates are divided into, 1 to 65536. Must be the same on every instance.
    std::uint32_t slots = 32;
    /// Duration of the lease on a slot and on the instance's registration, 2 to 86400 s.
    std::uint32_t leaseSeconds = 12;
    /// Time within which an accepted configuration is in force on each instance that reaches the store, 500 to
    /// 600000 ms. This and `revocationMs` have to be long enough for `deriveViewBudget`.
    std::uint32_t applyMs = 3000;
    /// Time within which a withdrawn key stops being accepted, 500 to 600000 ms.
    std::uint32_t revocationMs = 5000;
    /// Time after a member's announcement that it is leaving, from which on no request may reach it, 1000 to 600000 ms.
    std::uint32_t memberDrainMs = 7000;
    /// All instances together send a member that warms up at most `warmUpExcess` times the rate of its service and
    /// `warmUpSlack` statements in any second. 0 to 1000, and 0 to 1000000.
    double warmUpExcess = 1.5;
    double warmUpSlack = 5;
    /// Time limit of a graceful shutdown, 1 to 600 s.
    std::uint32_t drainSeconds = 6;
    /// Memory of the machine in MB, up to 1048576; 0 if that is not known.
    std::uint32_t memoryMb = 0;
    /// Open descriptors that the process may have, up to 16777216; 0 if that is not known.
    std::uint32_t maxFds = 0;
    /// Limits of the section "limits" as they are in the file.
    CallerLimitSettings limits;

    bool operator==(const FrontSettings&) const = default;

    tl::expected<ViewBudget, Error> viewBudget() const
    {
        return deriveViewBudget(Milliseconds(this->applyMs), Milliseconds(this->revocationMs));
    }
};

/// Parses settings from the text of a TOML file. Returns all errors found, each with file, line and key, or only the
/// first syntax error, with file and line.
tl::expected<FrontSettings, std::vector<Error>> parseFrontSettings(
    const std::string& text, const std::string& fileName);

} // namespace catkinlock
