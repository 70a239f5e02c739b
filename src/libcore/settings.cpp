#include "catkinlock/settings.h"

#include "libcore/settings_reader.h"

namespace catkinlock {

namespace {

    constexpr std::size_t minSecretLength = 16;

} // namespace

tl::expected<Settings, std::vector<Error>> parseSettings(const std::string& text, const std::string& fileName)
{
    toml::table root;
    try {
        root = toml::parse(text, fileName);
    } catch (const toml::parse_error& error) {
        auto message = fmt::format("{}:{}: {}", fileName, error.source().begin.line, error.description());
        return tl::unexpected(std::vector<Error> { { message } });
    }
    Settings settings;
    SettingsReader reader(root, fileName);
    reader.text("instance", "name", settings.name, true);
    reader.text("instance", "data_centre", settings.dataCentre, true);
    reader.address("instance", "http", settings.httpAddress);
    reader.address("instance", "peer", settings.peerAddress);
    reader.number("instance", "threads", settings.threads, 1, 64);
    reader.number("instance", "drain_seconds", settings.drainSeconds, 1, 600);
    reader.number("instance", "memory_mb", settings.memoryMb, 0, 1 << 20);
    reader.number("instance", "max_fds", settings.maxFds, 0, 1 << 24);
    reader.address("platform", "address", settings.platformAddress);
    reader.text("fleet", "secret", settings.fleetSecret, true);
    if (!settings.fleetSecret.empty() && settings.fleetSecret.size() < minSecretLength)
        reader.addError(reader.line("fleet", "secret"), "fleet", "secret",
            fmt::format("must have at least {} characters", minSecretLength));
    reader.number("fleet", "slots", settings.slots, 1, 65536);
    reader.number("fleet", "slot_lease_seconds", settings.slotLeaseSeconds, 2, 86400);
    reader.number("limits", "body_bytes", settings.bodyBytes, 1 << 10, 64 << 20);
    reader.number("limits", "header_bytes", settings.headerBytes, 1 << 10, 64 << 10);
    reader.number("limits", "answer_bytes", settings.maxResponseBytes, 1 << 10, 64 << 20);
    reader.number("limits", "idle_seconds", settings.idleSeconds, 1, 86400);
    reader.number("limits", "total_bytes", settings.totalBytes, 0, UINT32_MAX);
    reader.number("limits", "connections", settings.connections, 0, 1 << 24);
    reader.number("limits", "connections_per_address", settings.connectionsPerAddress, 0, 1 << 24);
    reader.number("limits", "request_timeout_ms", settings.requestTimeoutMs, 10, 600000);
    reader.number("limits", "replica_wait_ms", settings.replicaWaitMs, 0, 10000);
    reader.rejectUnknownKeys();
    if (!reader.errors.empty())
        return tl::unexpected(reader.errors);
    return settings;
}

} // namespace catkinlock
