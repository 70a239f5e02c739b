#include "standin/log.h"

#include <boost/json.hpp>

namespace catkinlock::standin {

namespace json = boost::json;

Position Log::last() const { return this->logEntries.empty() ? Position {} : this->logEntries.back().position; }

void Log::append(Entry entry) { this->logEntries.push_back(std::move(entry)); }

void Log::applyTo(std::uint64_t lsn)
{
    while (this->appliedLsn < lsn && this->appliedLsn < this->logEntries.size())
        this->apply(this->logEntries[this->appliedLsn++]);
}

void Log::truncate(std::uint64_t lsn)
{
    if (this->logEntries.size() <= lsn)
        return;
    this->logEntries.resize(lsn);
    if (this->appliedLsn <= lsn)
        return;
    this->rows.clear();
    this->appliedLsn = 0;
    this->applyTo(lsn);
}

std::uint64_t Log::termAt(std::uint64_t lsn) const
{
    return lsn && lsn <= this->logEntries.size() ? this->logEntries[lsn - 1].position.term : 0;
}

void Log::apply(const Entry& entry)
{
    for (const Change& change : entry.changes) {
        auto& bodies = this->rows[change.table][change.id];
        if (change.table == requestsTable)
            bodies.clear();
        bodies.push_back(change.body);
    }
}

std::vector<std::string> Log::find(const std::string& table, const std::string& id) const
{
    auto rowsOfTable = this->rows.find(table);
    if (rowsOfTable == this->rows.end())
        return {};
    auto bodies = rowsOfTable->second.find(id);
    return bodies == rowsOfTable->second.end() ? std::vector<std::string> {} : bodies->second;
}

std::vector<std::string> Log::findAll(const std::string& table) const
{
    std::vector<std::string> result;
    auto rowsOfTable = this->rows.find(table);
    if (rowsOfTable == this->rows.end())
        return result;
    for (const auto& [id, bodies] : rowsOfTable->second)
        result.insert(result.end(), bodies.begin(), bodies.end());
    return result;
}

std::string encodeEntry(const Entry& entry)
{
    json::array changes;
    for (const Change& change : entry.changes)
        changes.push_back(json::array { change.table, change.id, change.body });
    json::array line { entry.position.term, entry.position.lsn, changes };
    return json::serialize(line) + "\n";
}

std::optional<Entry> decodeEntry(const std::string& line)
{
    json::error_code error;
    json::value value = json::parse(line, error);
    if (error || !value.is_array() || value.get_array().size() != 3)
        return std::nullopt;
    const json::array& fields = value.get_array();
    Entry entry;
    entry.position = { fields[0].to_number<std::uint64_t>(), fields[1].to_number<std::uint64_t>() };
    for (const json::value& item : fields[2].as_array()) {
        const json::array& change = item.as_array();
        entry.changes.push_back({ json::value_to<std::string>(change[0]), json::value_to<std::string>(change[1]),
            json::value_to<std::string>(change[2]) });
    }
    return entry;
}

} // namespace catkinlock::standin
