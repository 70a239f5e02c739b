#include "catkinlock/front_settings.h"

#include "libcore/settings_reader.h"

namespace catkinlock {

namespace {

    constexpr std::size_t minSecretLength = 16;
    constexpr std::uint32_t maxBytes = UINT32_MAX;
    constexpr std::uint32_t maxTimeMs = 86400000;

    void readLimits(SettingsReader& reader, CallerLimitSettings& limits)
    {
        reader.number("limits", "connection_bytes", limits.connectionBytes, 0, maxBytes);
        reader.number("limits", "total_bytes", limits.totalBytes, 0, maxBytes);
        reader.number("limits", "connections", limits.connections, 0, 1 << 24);
        reader.number("limits", "connections_per_address", limits.connectionsPerAddress, 0, 1 << 24);
        reader.number("limits", "arrival_ms", limits.arrivalMs, 100, maxTimeMs);
        reader.number("limits", "reply_ms", limits.replyMs, 100, maxTimeMs);
        reader.number("limits", "page_connections", limits.pageConnections, 1, 1 << 24);
        reader.number("limits", "page_ms", limits.pageMs, 100, maxTimeMs);
    }

} // namespace

tl::expected<FrontSettings, std::vector<Error>> parseFrontSettings(const std::string& text, const std::string& fileName)
{
    toml::table root;
    try {
        root = toml::parse(text, fileName);
    } catch (const toml::parse_error& error) {
        auto message = fmt::format("{}:{}: {}", fileName, error.source().begin.line, error.description());
        return tl::unexpected(std::vector<Error> { { message } });
    }
    FrontSettings settings;
    SettingsReader reader(root, fileName);
    reader.text("instance", "name", settings.name, true);
    reader.text("instance", "data_centre", settings.dataCentre, true);
    reader.address("instance", "callers", settings.callerAddress);
    reader.address("instance", "ready", settings.readyAddress);
    reader.text("instance", "ready_path", settings.readyPath, true);
    reader.text("instance", "metrics", settings.metricsAddress, false);
    reader.address("instance", "peer", settings.peerAddress);
    reader.real("instance", "cores", settings.cores, 0, 1024);
    reader.number("instance", "memory_mb", settings.memoryMb, 0, 1 << 20);
    reader.number("instance", "max_fds", settings.maxFds, 0, 1 << 24);
    reader.number("instance", "drain_seconds", settings.drainSeconds, 1, 600);
    reader.text("platform", "adapter", settings.adapter, true);
    reader.address("platform", "store", settings.storeAddress);
    reader.address("platform", "promotions", settings.promotionAddress);
    reader.text("fleet", "secret", settings.fleetSecret, true);
    if (!settings.fleetSecret.empty() && settings.fleetSecret.size() < minSecretLength)
        reader.addError(reader.line("fleet", "secret"), "fleet", "secret",
            fmt::format("must have at least {} characters", minSecretLength));
    reader.number("fleet", "slots", settings.slots, 1, 65536);
    reader.number("fleet", "lease_seconds", settings.leaseSeconds, 2, 86400);
    reader.number("fleet", "apply_ms", settings.applyMs, 500, 600000);
    reader.number("fleet", "revocation_ms", settings.revocationMs, 500, 600000);
    reader.number("fleet", "member_drain_ms", settings.memberDrainMs, 1000, 600000);
    reader.real("fleet", "warm_up_excess", settings.warmUpExcess, 0, 1000);
    reader.real("fleet", "warm_up_slack", settings.warmUpSlack, 0, 1000000);
    if (auto budget = settings.viewBudget(); !budget)
        reader.addError(reader.line("fleet", "apply_ms"), "fleet", "apply_ms", budget.error().message);
    readLimits(reader, settings.limits);
    reader.rejectUnknownKeys();
    if (!reader.errors.empty())
        return tl::unexpected(reader.errors);
    return settings;
}

} // namespace catkinlock
