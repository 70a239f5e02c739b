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

/// Reads the keys of a TOML file into settings and gathers every fault.
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

} // namespace catkinlock
