#include "catkinlock/settings.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <toml++/toml.h>

namespace catkinlock {

namespace {

    constexpr std::size_t leastSecretLength = 16;

    // Reads the keys of a TOML file into settings and gathers every fault.
    class SettingsReader {
    public:
        SettingsReader(const toml::table& root, std::string fileName)
            : root(root)
            , fileName(std::move(fileName))
        {
        }

        void text(const char* section, const char* key, std::string& out, bool required)
        {
            const toml::node* node = this->find(section, key);
            if (!node) {
                if (required)
                    this->fail(this->root.source().begin.line, section, key, "is missing");
                return;
            }
            auto value = node->value_exact<std::string>();
            if (!value || value->empty())
                return this->fail(node->source().begin.line, section, key, "must be a text that is not empty");
            out = *value;
        }

        void address(const char* section, const char* key, std::string& out)
        {
            this->text(section, key, out, true);
            if (!out.empty() && !isAddress(out))
                this->fail(this->line(section, key), section, key, "must be \"IP:PORT\"");
        }

        void number(const char* section, const char* key, std::uint32_t& out, std::uint32_t least, std::uint32_t most)
        {
            const toml::node* node = this->find(section, key);
            if (!node)
                return;
            auto value = node->value_exact<std::int64_t>();
            if (!value || *value < least || *value > most) {
                auto message = fmt::format("must be a whole number from {} to {}", least, most);
                return this->fail(node->source().begin.line, section, key, message);
            }
            out = static_cast<std::uint32_t>(*value);
        }

        void fail(std::uint32_t line, const std::string& section, const std::string& key, const std::string& message)
        {
            std::string name = key.empty() ? section : section + "." + key;
            this->faults.push_back({ fmt::format("{}:{}: {} {}", this->fileName, line, name, message) });
        }

        std::uint32_t line(const char* section, const char* key)
        {
            const toml::node* node = this->find(section, key);
            return node ? node->source().begin.line : 1;
        }

        void refuseUnknown()
        {
            for (const auto& [section, node] : this->root) {
                std::string name(section.str());
                const toml::table* table = node.as_table();
                if (!table || !this->known.count(name)) {
                    this->fail(section.source().begin.line, name, "", "is not a known section");
                    continue;
                }
                for (const auto& [key, value] : *table) {
                    const auto& keys = this->known[name];
                    if (std::find(keys.begin(), keys.end(), key.str()) == keys.end())
                        this->fail(key.source().begin.line, name, std::string(key.str()), "is not a known key");
                }
            }
        }

        std::vector<Error> faults;

    private:
        static bool isAddress(const std::string& text)
        {
            std::size_t colon = text.rfind(':');
            if (colon == std::string::npos || !colon)
                return false;
            std::string port = text.substr(colon + 1);
            bool digits
                = !port.empty() && std::all_of(port.begin(), port.end(), [](unsigned char c) { return isdigit(c); });
            return digits && port.size() <= 5 && std::stoul(port) <= 65535;
        }

        const toml::node* find(const char* section, const char* key)
        {
            this->known[section].push_back(key);
            const toml::node* table = this->root.get(section);
            return table && table->is_table() ? table->as_table()->get(key) : nullptr;
        }

        const toml::table& root;
        std::string fileName;
        std::map<std::string, std::vector<std::string>> known;
    };

} // namespace

tl::expected<Settings, std::vector<Error>> parseSettings(const std::string& text, const std::string& fileName)
{
    toml::table root;
    try {
        root = toml::parse(text, fileName);
    } catch (const toml::parse_error& fault) {
        auto message = fmt::format("{}:{}: {}", fileName, fault.source().begin.line, fault.description());
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
    reader.address("platform", "address", settings.platformAddress);
    reader.text("fleet", "secret", settings.fleetSecret, true);
    if (!settings.fleetSecret.empty() && settings.fleetSecret.size() < leastSecretLength)
        reader.fail(reader.line("fleet", "secret"), "fleet", "secret",
            fmt::format("must have at least {} characters", leastSecretLength));
    reader.number("fleet", "slots", settings.slots, 1, 65536);
    reader.number("fleet", "slot_lease_seconds", settings.slotLeaseSeconds, 2, 86400);
    reader.number("limits", "body_bytes", settings.bodyBytes, 1 << 10, 64 << 20);
    reader.number("limits", "header_bytes", settings.headerBytes, 1 << 10, 64 << 10);
    reader.number("limits", "answer_bytes", settings.answerBytes, 1 << 10, 64 << 20);
    reader.number("limits", "idle_seconds", settings.idleSeconds, 1, 86400);
    reader.number("limits", "request_timeout_ms", settings.requestTimeoutMs, 10, 600000);
    reader.number("limits", "replica_wait_ms", settings.replicaWaitMs, 0, 10000);
    reader.refuseUnknown();
    if (!reader.faults.empty())
        return tl::unexpected(reader.faults);
    return settings;
}

} // namespace catkinlock
