#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinlock {

/// Peers that wait for this instance's view to be of a revision of the store, or of a later one.
class AwaitedRevisions {
public:
    /// Records that the peer at this address waits for `revision`, in place of what it waited for before.
    void record(const std::string& address, std::int64_t revision) { this->revisions[address] = revision; }

    /// Returns the peers that have waited for `reached` or an earlier revision, and forgets them.
    std::vector<std::string> takeReached(std::int64_t reached)
    {
        std::vector<std::string> addresses;
        for (const auto& [address, revision] : this->revisions) {
            if (revision <= reached)
                addresses.push_back(address);
        }
        for (const std::string& address : addresses)
            this->revisions.erase(address);
        return addresses;
    }

private:
    // By address.
    std::map<std::string, std::int64_t> revisions;
};

} // namespace catkinlock
