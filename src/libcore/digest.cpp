#include "catkinlock/digest.h"

#include <cstdlib>
#include <memory>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace catkinlock {

namespace {

    std::string toHex(const unsigned char* data, std::size_t size)
    {
        static const char digits[] = "0123456789abcdef";
        std::string text;
        text.reserve(size * 2);
        for (std::size_t i = 0; i < size; ++i) {
            text += digits[data[i] >> 4];
            text += digits[data[i] & 15];
        }
        return text;
    }

    const unsigned char* bytes(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

    // State for HMAC with SHA-256, kept for a thread because looking up the algorithm takes longer than a short
    // message.
    class HmacContext {
    public:
        HmacContext()
            : algorithm(EVP_MAC_fetch(nullptr, "HMAC", nullptr), EVP_MAC_free)
            , context(EVP_MAC_CTX_new(this->algorithm.get()), EVP_MAC_CTX_free)
        {
            char digestName[] = "SHA256";
            OSSL_PARAM parameters[] = { OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digestName, 0),
                OSSL_PARAM_construct_end() };
            if (!this->context || !EVP_MAC_CTX_set_params(this->context.get(), parameters))
                std::abort();
        }
        EVP_MAC_CTX* get() const { return this->context.get(); }

    private:
        std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> algorithm;
        std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context;
    };

} // namespace

std::string sha256Hex(std::string_view data)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(bytes(data), data.size(), digest);
    return toHex(digest, sizeof digest);
}

std::string hmacSha256(std::string_view data, std::string_view secret)
{
    thread_local HmacContext context;
    unsigned char digest[EVP_MAX_MD_SIZE];
    std::size_t size = 0;
    // A null pointer would stand for the key of the last call.
    std::string_view key = secret.empty() ? std::string_view("") : secret;
    bool computed = EVP_MAC_init(context.get(), bytes(key), key.size(), nullptr)
        && EVP_MAC_update(context.get(), bytes(data), data.size())
        && EVP_MAC_final(context.get(), digest, &size, sizeof digest);
    // Without a code, messages would be sent unsigned, and callers have no safe way to continue.
    if (!computed)
        std::abort();
    return std::string(reinterpret_cast<char*>(digest), size);
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && !CRYPTO_memcmp(left.data(), right.data(), left.size());
}

std::string encodeBase64(std::string_view data)
{
    std::string text(4 * ((data.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes(data), static_cast<int>(data.size()));
    return text;
}

std::string decodeBase64(std::string_view text)
{
    if (text.empty() || text.size() % 4)
        return {};
    std::string data(text.size() / 4 * 3, '\0');
    int size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()), bytes(text), static_cast<int>(text.size()));
    if (size < 0)
        return {};
    std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    data.resize(static_cast<std::size_t>(size) - padding);
    return data;
}

std::string randomHex(unsigned byteCount)
{
    std::string buffer(byteCount, '\0');
    // A key generated without random bytes would be guessable, and callers have no safe way to continue.
    if (RAND_bytes(reinterpret_cast<unsigned char*>(buffer.data()), static_cast<int>(byteCount)) != 1)
        std::abort();
    return toHex(bytes(buffer), buffer.size());
}

} // namespace catkinlock
