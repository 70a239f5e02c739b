#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace catkinlock {

/// Returns the SHA-256 of `data` in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

/// Returns the HMAC-SHA-256 of `data` under `secret` as 32 raw bytes.
std::string hmacSha256(std::string_view data, std::string_view secret);

/// Compares in a time that depends only on the lengths, so that an attacker cannot guess a MAC byte by byte.
bool equalConstantTime(std::string_view, std::string_view);

/// Encodes as base64 with padding.
std::string encodeBase64(std::string_view data);

/// Decodes base64 with padding. Returns an empty string if the input is malformed.
std::string decodeBase64(std::string_view text);

/// Returns `byteCount` bytes from a cryptographic random generator in lower-case hexadecimal. Suitable for keys. Aborts
/// the process if the generator fails.
std::string randomHex(unsigned byteCount);

} // namespace catkinlock
