// Malformed requests, wrong credentials, oversized bodies and oversized results are refused with their own error code,
// and the instance continues to serve. Faulty settings stop an instance at its start.

#include "catkinlock/address.h"
#include "standin/fleet.h"
#include <boost/asio.hpp>
#include <gtest/gtest.h>

using namespace catkinlock::standin;

namespace {

// Sends raw bytes and returns everything that is received until the instance closes the connection.
std::string exchangeRaw(const std::string& address, const std::string& bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(catkinlock::parseAddress(address));
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string response;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
    return response;
}

} // namespace

TEST(BadInput, IsRefusedAndTheInstanceKeepsServing)
{
    Fleet::Options fleetOptions;
    fleetOptions.extraSettings = "[limits]\nbody_bytes = 4096\nidle_seconds = 2\nanswer_bytes = 2048\n";
    Fleet fleet(fleetOptions);
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
    // A connection whose request stays incomplete is closed after `idle_seconds`, without a response.
    EXPECT_EQ(exchangeRaw(address, "POST /v1/orders/transaction HTTP/1.1\r\nContent-Le"), "");

    // The first connection has been idle for longer than `idle_seconds` and is closed.
    caller = fleet.caller(0);
    options.key = fleet.key;
    std::string large(1500, 'y');
    for (int i = 0; i < 2; ++i)
        ASSERT_TRUE(caller.run("orders", "INSERT INTO bookings (id, body) VALUES ($1, $2)", { "big", large }, options)
                        .isDone());
    auto response = caller.run("rosters", "SELECT body FROM bookings WHERE id = $1", { "big" }, options);
    EXPECT_EQ(response.code, "answer_too_large") << response.body;
    EXPECT_EQ(response.outcome, "not_run");
    EXPECT_TRUE(caller.run("rosters", "SELECT body FROM bookings WHERE id = $1", { "none" }, options).isDone());
}

TEST(BadInput, FaultySettingsOpenNoSocket)
{
    Fleet::Options fleetOptions;
    fleetOptions.instances = 0;
    fleetOptions.extraSettings = "colour = 3\n";
    Fleet fleet(fleetOptions);
    ASSERT_TRUE(fleet.start());
    Process process({ Fleet::binaryFolder() + "/catkinlock", "serve", "--settings", fleet.settingsFile("a", "b") });
    EXPECT_EQ(process.awaitExit(10), 2);
    EXPECT_NE(process.output().find("fleet.colour is not a known key"), std::string::npos) << process.output();
}
