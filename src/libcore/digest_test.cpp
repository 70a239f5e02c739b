// Checks the codes that sign messages between instances and session tokens.

#include "catkinlock/digest.h"
#include <gtest/gtest.h>
#include <thread>

using namespace catkinlock;

namespace {

std::string hex(std::string_view data)
{
    std::string text;
    for (unsigned char byte : data) {
        text += "0123456789abcdef"[byte >> 4];
        text += "0123456789abcdef"[byte & 15];
    }
    return text;
}

// Test cases 2 and 6 of RFC 4231.
constexpr const char* shortText = "what do ya want for nothing?";
constexpr const char* shortCode = "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843";
constexpr const char* longKeyText = "Test Using Larger Than Block-Size Key - Hash Key First";
constexpr const char* longKeyCode = "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54";
constexpr const char* codeOfNothing = "b613679a0814d9ec772f95d778c35fc5ff1697c493715653c6c712144292c5ad";

} // namespace

TEST(Digest, HmacDependsOnTheKeyOfTheCallAlone)
{
    std::string longKey(131, '\xaa');
    for (int round = 0; round < 2; ++round) {
        EXPECT_EQ(hex(hmacSha256(shortText, "Jefe")), shortCode);
        EXPECT_EQ(hex(hmacSha256(longKeyText, longKey)), longKeyCode);
        EXPECT_EQ(hex(hmacSha256("", "")), codeOfNothing);
        EXPECT_EQ(hex(hmacSha256(std::string_view(), std::string_view())), codeOfNothing);
    }
}

TEST(Digest, HmacIsComputedByThreadsAtOnce)
{
    auto compute = [] {
        for (int i = 0; i < 1000; ++i)
            EXPECT_EQ(hex(hmacSha256(shortText, "Jefe")), shortCode);
    };
    std::thread other(compute);
    compute();
    other.join();
}
