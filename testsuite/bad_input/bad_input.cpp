// Bad input gets a clear refusal, and nothing is lost by it.

#include "catkinlock/address.h"
#include "standin/fleet.h"
#include <boost/asio.hpp>
#include <gtest/gtest.h>

using namespace catkinlock::standin;

namespace {

// Sends raw bytes and reads what comes until the connection closes or falls silent.
std::string exchangeRaw(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(catkinlock::parseAddress(address));
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
}

} // namespace

TEST(BadInput, IsRefusedAndTheInstanceGoesOn)
{
    Fleet::Options shape;
    shape.extraSettings = "[limits]\nbody_bytes = 4096\nidle_seconds = 2\nanswer_bytes = 2048\n";
    Fleet fleet(shape);
    ASSERT_TRUE(fleet.start());
    Caller caller = fleet.caller(0);
    CallOptions options { fleet.key };
    auto post = [&](const std::string& path, const std::string& body) {
        return caller.post(path, body, requestHeaders(options));
    };

    EXPECT_EQ(post("/v1/orders/transaction", "{").code, "bad_request");
    EXPECT_EQ(post("/v1/orders/transaction", R"({"statements": 5})").code, "bad_request");
    EXPECT_EQ(post("/v1/orders/transaction", R"({"statements": [{"sql": "COMMIT"}]})").code, "bad_request");
    EXPECT_EQ(post("/v1/orders/else", "{}").code, "bad_request");
    EXPECT_EQ(post("/v1/no-such/transaction", transactionBody("SELECT 1", {})).code, "unknown_route");
    EXPECT_EQ(post("/v1/orders/transaction", transactionBody("SELECT what", {})).code, "statement_failed");
    EXPECT_EQ(post("/v1/orders/settle", "").code, "bad_request");
    EXPECT_EQ(post("/v1/orders/transaction", transactionBody(std::string(5000, 'x'), {})).code, "body_too_large");

    options.session = "bm90IGEgdG9rZW4=";
    EXPECT_EQ(post("/v1/rosters/transaction", transactionBody("SELECT 1", {})).code, "bad_session");
    options.session.clear();
    options.timeoutMs = 0;
    EXPECT_EQ(post("/v1/orders/transaction", transactionBody("SELECT 1", {})).code, "deadline");
    options.timeoutMs = 5000;
    options.key = "wrong";
    EXPECT_EQ(post("/v1/orders/transaction", transactionBody("SELECT 1", {})).code, "key_refused");
    options.key.clear();
    EXPECT_EQ(post("/v1/orders/transaction", transactionBody("SELECT 1", {})).code, "key_missing");

    std::string address = fleet.httpAddress(0);
    EXPECT_NE(exchangeRaw(address, "NONSENSE\r\n\r\n").find("400"), std::string::npos);
    EXPECT_NE(exchangeRaw(address, "POST / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n").find("413"),
        std::string::npos);
    // A caller that stops in the middle is let go without an answer.
    EXPECT_EQ(exchangeRaw(address, "POST /v1/orders/transaction HTTP/1.1\r\nContent-Le"), "");

    // The first connection has been closed as idle meanwhile.
    caller = fleet.caller(0);
    options.key = fleet.key;
    std::string large(1500, 'y');
    for (int i = 0; i < 2; ++i)
        ASSERT_TRUE(caller.run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "big", large }, options)
                        .isDone());
    auto answer = caller.run("rosters", "SELECT body FROM bookings WHERE id = $1", { "big" }, options);
    EXPECT_EQ(answer.code, "answer_too_large") << answer.body;
    EXPECT_EQ(answer.outcome, "not_run");
    EXPECT_TRUE(caller.run("rosters", "SELECT body FROM bookings WHERE id = $1", { "none" }, options).isDone());
}

TEST(BadInput, FaultySettingsOpenNoSocket)
{
    Fleet::Options shape;
    shape.instances = 0;
    shape.extraSettings = "colour = 3\n";
    Fleet fleet(shape);
    ASSERT_TRUE(fleet.start());
    Process process({ Fleet::binaryFolder() + "/catkinlock", "serve", "--settings", fleet.settingsFile("a", "b") });
    EXPECT_EQ(process.awaitExit(10), 2);
    EXPECT_NE(process.output().find("fleet.colour is not a known key"), std::string::npos) << process.output();
}
