#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace catkinlock::standin {

/// How a request of a caller ended.
enum class RequestEnd {
    Answered,
    /// The instance closed the connection without an answer.
    Closed,
    /// The connection was reset.
    Reset,
    /// The caller gave up.
    GivenUp,
};

/// One request of a caller, as the caller saw it. Times are since the start of the play.
struct RequestRecord {
    std::string id;
    /// "CONNECT" or the statement.
    std::string text;
    /// Text of the request before it on the same session; empty if there was none.
    std::string previousText;
    std::size_t instance = 0;
    std::chrono::milliseconds sentAt { 0 };
    std::chrono::milliseconds endedAt { 0 };
    RequestEnd end = RequestEnd::Answered;
    std::string response;

    auto operator<=>(const RequestRecord&) const = default;
};

} // namespace catkinlock::standin
