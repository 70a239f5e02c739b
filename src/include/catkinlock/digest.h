#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace catkinlock {

/// SHA-256 of `data` in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

/// HMAC-SHA-256 of `data` under `secret`, 32 raw bytes.
std::string hmacSha256(std::string_view data, std::string_view secret);

/// Compares in a time that depends only on the lengths.
bool equalConstantTime(std::string_view, std::string_view);

std::string encodeBase64(std::string_view data);

/// Decodes base64 with padding; malformed input gives an empty string.
std::string decodeBase64(std::string_view text);

/// `bytes` random bytes in lower-case hexadecimal, fit for keys.
std::string randomHex(unsigned bytes);

} // namespace catkinlock
