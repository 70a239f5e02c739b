#include "catkinlock/session_token.h"

#include "catkinlock/digest.h"
#include <charconv>
#include <fmt/format.h>

namespace catkinlock {

namespace {

    // Size of an HMAC-SHA-256.
    constexpr std::size_t macBytes = 32;

    // Parses a decimal number that ends with a newline, and moves `offset` past it.
    bool readNumber(const std::string& text, std::size_t& offset, std::uint64_t& value)
    {
        auto [end, error] = std::from_chars(text.data() + offset, text.data() + text.size(), value);
        if (error != std::errc() || end == text.data() + text.size() || *end != '\n')
            return false;
        offset = static_cast<std::size_t>(end - text.data()) + 1;
        return true;
    }

} // namespace

std::string encodeSessionToken(const SessionToken& token, const std::string& secret)
{
    // The database comes last and is not delimited, so it may hold any character.
    std::string body
        = fmt::format("{}\n{}\n{}\n{}", token.position.term, token.position.lsn, token.workspace, token.database);
    return encodeBase64(hmacSha256(body, secret) + body);
}

tl::expected<SessionToken, Error> decodeSessionToken(const std::string& text, const std::string& secret)
{
    std::string decoded = decodeBase64(text);
    if (decoded.size() <= macBytes)
        return tl::unexpected(Error { "the session token is malformed; send it exactly as it was received" });
    std::string body = decoded.substr(macBytes);
    if (!equalConstantTime(std::string_view(decoded).substr(0, macBytes), hmacSha256(body, secret)))
        return tl::unexpected(Error { "the session token was not issued by this fleet" });
    SessionToken token;
    std::size_t offset = 0;
    bool read = readNumber(body, offset, token.position.term) && readNumber(body, offset, token.position.lsn);
    std::size_t end = body.find('\n', offset);
    if (!read || end == std::string::npos)
        return tl::unexpected(
            Error { "the session token has an unsupported format; it may come from another software version" });
    token.workspace = body.substr(offset, end - offset);
    token.database = body.substr(end + 1);
    return token;
}

} // namespace catkinlock
