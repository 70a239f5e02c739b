#pragma once

#include "catkinlock/error.h"
#include "catkinlock/tables.h"
#include "catkinlock/target_record.h"
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// Reads the documents that operators and members keep in the metadata store. No state, no decisions.
class DocumentSource {
public:
    virtual ~DocumentSource() = default;

    /// Key of the operators' document.
    virtual std::string tablesKey() const = 0;
    /// Prefix of the members' entries; the rest of a key is the member's id.
    virtual std::string targetPrefix() const = 0;
    virtual tl::expected<Tables, Error> parseTables(const std::string& text) const = 0;
    /// Nothing usable gives an error; it names no member.
    virtual tl::expected<TargetRecord, Error> parseTarget(const std::string& id, const std::string& text) const = 0;
};

} // namespace catkinlock
