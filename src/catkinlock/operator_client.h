#pragma once

#include "catkinlock/platform_client.h"
#include "catkinlock/settings.h"
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace catkinlock {

/// Result of an edit of the tables.
enum class EditResult {
    /// The edit is in force.
    Done,
    /// The entry is not at the revision that the edit is based on; nothing was changed.
    Conflict,
    /// A response was lost, and the edit may have taken effect.
    Unknown,
    /// Nothing was changed.
    Failed,
};

/// Reads and edits the operators' tables in the platform's key-value service. Calls block. Keys, such as "route/NAME",
/// are passed without the prefix that they have in the store.
class OperatorClient {
public:
    explicit OperatorClient(const std::string& platformAddress);
    ~OperatorClient();

    /// Reads the entries whose key starts with `prefix`, such as "route/". The returned keys lack the store's prefix.
    PlatformResult<KeyRange> list(const std::string& prefix);
    /// Reads one entry; no value if it does not exist. The returned key includes the store's prefix.
    PlatformResult<std::optional<KeyValue>> show(const std::string& key);
    /// Writes `value` to an entry, or deletes the entry if there is no value, provided that its revision is
    /// `baseRevision` (0: it must not exist) and that the `required` entries exist. After a failed call, the entry is
    /// read back to find out whether the edit took effect. If it did not, or can't be read, the edit is sent again
    /// until a timeout, which is safe because it depends on the revision. `detail` is set to an explanation of the
    /// result for the operator.
    EditResult edit(const std::string& key, std::int64_t baseRevision, const std::optional<std::string>& value,
        const std::vector<std::string>& required, std::string& detail);

private:
    struct Connection;
    std::unique_ptr<Connection> connection;
};

/// Prints the result of an edit, successes to standard output and the rest to standard error. Returns the ExitStatus.
int reportEdit(EditResult, const std::string& detail);

/// Reads the settings of a command. If they are missing or invalid, prints every error to standard error and returns
/// false.
bool loadSettings(const std::string& path, Settings& settings);

/// Fetches a page of an instance over HTTP and returns its body, whatever the HTTP status. The error says why no
/// complete response was received. Blocks without a time limit.
tl::expected<std::string, Error> fetchPage(const std::string& address, const std::string& path);

} // namespace catkinlock
