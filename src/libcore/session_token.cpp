#include "catkinlock/session_token.h"

#include "catkinlock/digest.h"
#include <charconv>
#include <fmt/format.h>

namespace catkinlock {

namespace {

    constexpr std::size_t sealBytes = 32;

    bool readNumber(const std::string& text, std::size_t& from, std::uint64_t& value)
    {
        auto [end, error] = std::from_chars(text.data() + from, text.data() + text.size(), value);
        if (error != std::errc() || end == text.data() + text.size() || *end != '\n')
            return false;
        from = static_cast<std::size_t>(end - text.data()) + 1;
        return true;
    }

} // namespace

std::string sealToken(const SessionToken& token, const std::string& secret)
{
    std::string body
        = fmt::format("{}\n{}\n{}\n{}", token.position.term, token.position.lsn, token.workspace, token.database);
    return encodeBase64(hmacSha256(body, secret) + body);
}

tl::expected<SessionToken, Error> openToken(const std::string& text, const std::string& secret)
{
    std::string sealed = decodeBase64(text);
    if (sealed.size() <= sealBytes)
        return tl::unexpected(Error { "the session token is malformed; send it as it was received" });
    std::string body = sealed.substr(sealBytes);
    if (!equalConstantTime(std::string_view(sealed).substr(0, sealBytes), hmacSha256(body, secret)))
        return tl::unexpected(Error { "the session token was not issued by this fleet" });
    SessionToken token;
    std::size_t at = 0;
    bool read = readNumber(body, at, token.position.term) && readNumber(body, at, token.position.lsn);
    std::size_t end = body.find('\n', at);
    if (!read || end == std::string::npos)
        return tl::unexpected(Error { "the session token has another version's form" });
    token.workspace = body.substr(at, end - at);
    token.database = body.substr(end + 1);
    return token;
}

} // namespace catkinlock
