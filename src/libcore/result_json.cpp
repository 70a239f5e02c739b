#include "catkinlock/result_json.h"

#include <boost/json.hpp>

namespace catkinlock {

namespace json = boost::json;

std::string writeResults(const std::vector<ResultSet>& results)
{
    json::array list;
    for (const ResultSet& result : results) {
        json::array columns(result.columns.begin(), result.columns.end());
        json::array rows;
        rows.reserve(result.rows.size());
        for (const auto& row : result.rows) {
            json::array values;
            for (const auto& value : row)
                values.push_back(value ? json::value(*value) : json::value());
            rows.push_back(std::move(values));
        }
        list.push_back(json::object { { "columns", columns }, { "rows", rows }, { "affected", result.affected } });
    }
    return json::serialize(list);
}

tl::expected<std::vector<ResultSet>, Error> readResults(const std::string& text)
{
    json::error_code error;
    json::parse_options options;
    // A target's values are passed on unchanged, and may be in another encoding than UTF-8.
    options.allow_invalid_utf8 = true;
    json::value value = json::parse(text, error, {}, options);
    if (error || !value.is_array())
        return tl::unexpected(Error { "result sets are not a valid JSON array" });
    std::vector<ResultSet> results;
    try {
        for (const json::value& item : value.get_array()) {
            const json::object& object = item.as_object();
            ResultSet result;
            for (const json::value& column : object.at("columns").as_array())
                result.columns.push_back(json::value_to<std::string>(column));
            for (const json::value& row : object.at("rows").as_array()) {
                auto& values = result.rows.emplace_back();
                for (const json::value& cell : row.as_array())
                    values.push_back(cell.is_null() ? std::nullopt : std::optional(json::value_to<std::string>(cell)));
            }
            result.affected = object.at("affected").to_number<std::uint64_t>();
            results.push_back(std::move(result));
        }
    } catch (const std::exception& exception) {
        return tl::unexpected(Error { exception.what() });
    }
    return results;
}

} // namespace catkinlock
