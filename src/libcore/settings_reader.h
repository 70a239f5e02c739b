#pragma once

#include "catkinlock/error.h"
#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <map>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace catkinlock {

/// Reads the keys of a TOML file into settings and collects every error, so that an operator sees all of them at once.
class SettingsReader {
public:
    SettingsReader(const toml::table& root, std::string fileName)
        : root(root)
        , fileName(std::move(fileName))
    {
    }

    /// Reads a non-empty string. `out` keeps its default if the key is absent and not `required`.
    void text(const char* section, const char* key, std::string& out, bool required)
    {
        const toml::node* node = this->find(section, key);
        if (!node) {
            if (required)
                this->addError(this->root.source().begin.line, section, key, "is missing");
            return;
        }
        auto value = node->value_exact<std::string>();
        if (!value || value->empty())
            return this->addError(node->source().begin.line, section, key, "must be a non-empty string");
        out = *value;
    }

    /// Reads a required "ip:port".
    void address(const char* section, const char* key, std::string& out)
    {
        this->text(section, key, out, true);
        if (!out.empty() && !isAddress(out))
            this->addError(this->line(section, key), section, key, "must be \"IP:PORT\"");
    }

    /// Reads an integer from `min` to `max`. `out` keeps its default if the key is absent.
    /// Reads a number that may have a fraction.
    void real(const char* section, const char* key, double& out, double min, double max)
    {
        const toml::node* node = this->find(section, key);
        if (!node)
            return;
        auto value = node->is_number() ? node->value<double>() : std::nullopt;
        if (!value || !(*value >= min && *value <= max)) {
            this->addError(
                this->line(section, key), section, key, fmt::format("must be a number from {} to {}", min, max));
            return;
        }
        out = *value;
    }
    void number(const char* section, const char* key, std::uint32_t& out, std::uint32_t min, std::uint32_t max)
    {
        const toml::node* node = this->find(section, key);
        if (!node)
            return;
        auto value = node->value_exact<std::int64_t>();
        if (!value || *value < min || *value > max) {
            auto message = fmt::format("must be a whole number from {} to {}", min, max);
            return this->addError(node->source().begin.line, section, key, message);
        }
        out = static_cast<std::uint32_t>(*value);
    }

    /// Records an error. An empty `key` stands for the section itself.
    void addError(std::uint32_t line, const std::string& section, const std::string& key, const std::string& message)
    {
        std::string name = key.empty() ? section : section + "." + key;
        this->errors.push_back({ fmt::format("{}:{}: {} {}", this->fileName, line, name, message) });
    }

    /// Line of a key in the file, or 1 if it is absent.
    std::uint32_t line(const char* section, const char* key)
    {
        const toml::node* node = this->find(section, key);
        return node ? node->source().begin.line : 1;
    }

    /// Reports sections and keys that have not been read, since they are usually misspelt. Call after all keys were
    /// read.
    void rejectUnknownKeys()
    {
        for (const auto& [section, node] : this->root) {
            std::string name(section.str());
            const toml::table* table = node.as_table();
            if (!table || !this->knownKeys.count(name)) {
                this->addError(section.source().begin.line, name, "", "is not a known section");
                continue;
            }
            for (const auto& [key, value] : *table) {
                const auto& keys = this->knownKeys[name];
                if (std::find(keys.begin(), keys.end(), key.str()) == keys.end())
                    this->addError(key.source().begin.line, name, std::string(key.str()), "is not a known key");
            }
        }
    }

    std::vector<Error> errors;

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

    // Returns null if the key is absent. Marks the key as known.
    const toml::node* find(const char* section, const char* key)
    {
        this->knownKeys[section].push_back(key);
        const toml::node* table = this->root.get(section);
        return table && table->is_table() ? table->as_table()->get(key) : nullptr;
    }

    const toml::table& root;
    std::string fileName;
    // Keys requested by `find`, by section.
    std::map<std::string, std::vector<std::string>> knownKeys;
};

} // namespace catkinlock
