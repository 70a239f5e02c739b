#pragma once

#include "catkinlock/platform_client.h"
#include "catkinlock/settings.h"
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// What an edit of the tables came to.
enum class EditResult {
    Done,
    Conflict,
    Unknown,
    Failed,
};

/// The operators' access to the tables in the platform's service, with blocking calls.
class OperatorClient {
public:
    explicit OperatorClient(const std::string& platformAddress);
    ~OperatorClient();

    /// Entries whose key starts with `kind` ("route/"), keys without the tables' prefix.
    PlatformResult<KeyRange> list(const std::string& kind);
    PlatformResult<std::optional<KeyValue>> show(const std::string& key);
    /// Writes an entry, or deletes it without a value, if its revision is `based`. `required` entries have to exist. A
    /// lost answer is settled by reading the entry back, and only then is the edit tried again. `detail` gets a
    /// sentence for the operator.
    EditResult edit(const std::string& key, std::int64_t based, const std::optional<std::string>& value,
        const std::vector<std::string>& required, std::string& detail);

private:
    struct Connection;
    std::unique_ptr<Connection> connection;
};

/// The exit status of an edit, after telling the operator what happened.
int reportEdit(EditResult, const std::string& detail);

/// Reads settings for a command; false with every fault on standard error.
bool loadSettings(const std::string& path, Settings& settings);

/// A page of an instance by HTTP; an error says why there is none.
tl::expected<std::string, Error> fetchPage(const std::string& address, const std::string& path);

} // namespace catkinlock
