#pragma once

#include "catkinlock/error.h"
#include "catkinlock/tables.h"
#include "catkinlock/target_record.h"
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// Parses the documents that operators and members keep in the metadata store, in the format of one platform.
/// Stateless.
class DocumentSource {
public:
    virtual ~DocumentSource() = default;

    /// Store key of the operators' configuration document.
    virtual std::string tablesKey() const = 0;
    /// Prefix of the store keys of the members' entries. The rest of such a key is the member's id.
    virtual std::string targetPrefix() const = 0;
    /// Prefix of the store keys by which operators request evacuations. The rest of such a key is the data centre.
    virtual std::string evacuationPrefix() const = 0;
    /// Parses the operators' configuration document.
    virtual tl::expected<Tables, Error> parseTables(const std::string& text) const = 0;
    /// Parses the entry of member `id`. The error text says what is wrong with the entry, but does not name the member.
    virtual tl::expected<TargetRecord, Error> parseTarget(const std::string& id, const std::string& text) const = 0;
    /// Parses the value of a key that requests an evacuation. The error text says what is wrong with it.
    virtual tl::expected<void, Error> parseEvacuation(const std::string& text) const = 0;
};

} // namespace catkinlock
