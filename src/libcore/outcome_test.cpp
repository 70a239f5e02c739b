// Tests of the outcome of several attempts, the statement check, session tokens, and the parsing of requests and
// results.

#include "catkinlock/attempt_history.h"
#include "catkinlock/caller_request.h"
#include "catkinlock/result_json.h"
#include "catkinlock/session_token.h"
#include "catkinlock/statement_check.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace catkinlock;

namespace {

DatabaseResult refused(Outcome outcome, const std::string& code)
{
    return tl::unexpected(Refusal { outcome, code, "" });
}

} // namespace

// Once one attempt may have run, the outcome reported to the caller must stay unknown, whatever later attempts return.
RC_GTEST_PROP(AttemptHistory, NeverSaysNotRunAfterAnAttemptThatMayHaveRun, (bool hasIdempotencyKey, bool idempotent))
{
    AttemptHistory history(hasIdempotencyKey, idempotent);
    bool mayHaveRun = false;
    auto count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
        bool unknown = *rc::gen::arbitrary<bool>();
        mayHaveRun = mayHaveRun || unknown;
        auto combined
            = history.add(unknown ? refused(Outcome::Unknown, "commit_lost") : refused(Outcome::NotRun, "no_primary"));
        RC_ASSERT(combined.error().outcome == (mayHaveRun ? Outcome::Unknown : Outcome::NotRun));
        RC_ASSERT(history.mayRetry() == (!mayHaveRun || hasIdempotencyKey || idempotent));
        if (!history.mayRetry())
            break;
    }
}

TEST(AttemptHistory, TheIdempotencyRecordSettlesAnUnknownOutcome)
{
    AttemptHistory history(true, false);
    history.add(refused(Outcome::Unknown, "commit_lost"));
    EXPECT_EQ(history.add(refused(Outcome::NotRun, "settled_not_run")).error().outcome, Outcome::NotRun);
    EXPECT_TRUE(history.wasSettled());
    EXPECT_FALSE(history.mayRetry());
}

TEST(AttemptHistory, APermanentRefusalEndsTheAttempts)
{
    AttemptHistory history(true, true);
    history.add(refused(Outcome::NotRun, "statement_failed"));
    EXPECT_FALSE(history.mayRetry());
}

TEST(StatementCheck, RejectsTransactionControlAndSessionState)
{
    for (const char* sql : { "COMMIT", "rollback", " /* a /* nested */ */ commit", "-- x\nEND", "BEGIN", "SET a = 1",
             "LISTEN x", "COPY t FROM STDIN", "PREPARE TRANSACTION 'x'", "", "   ", "DO $$ $$", "CALL p()" })
        EXPECT_FALSE(checkStatement({ sql, {} })) << sql;
    for (const char* sql :
        { "SELECT 1", "(select 1)", "with a as (select 1) select * from a", "/* c */ INSERT INTO t" })
        EXPECT_TRUE(checkStatement({ sql, {} })) << sql;
    EXPECT_FALSE(checkStatement({ "SELECT $1", { std::string("a\0b", 3) } }));
}

RC_GTEST_PROP(SessionToken, ReadsBackWhatWasSealedAndNothingElse,
    (const std::string& database, std::uint64_t term, std::uint64_t lsn))
{
    SessionToken token { "tours", database, { term, lsn } };
    std::string text = encodeSessionToken(token, "a secret of the tests");
    auto decoded = decodeSessionToken(text, "a secret of the tests");
    RC_ASSERT(decoded && *decoded == token);
    RC_ASSERT(!decodeSessionToken(text, "another secret"));
    std::string changed = text;
    auto index = *rc::gen::inRange<std::size_t>(0, changed.size());
    changed[index] = changed[index] == 'A' ? 'B' : 'A';
    auto decodedChanged = decodeSessionToken(changed, "a secret of the tests");
    RC_ASSERT(!decodedChanged || *decodedChanged == token);
}

RC_GTEST_PROP(CallerRequest, AnyBodyIsReadOrRefused, (const std::string& body))
{
    CallerRequest request;
    parseCallerBody(body, request);
    CallerRequest nested;
    parseCallerBody("{\"statements\":[{\"sql\":" + body + "}]}", nested);
}

TEST(CallerRequest, ErrorsNameTheInvalidMember)
{
    auto errorOf = [](const std::string& body) {
        CallerRequest request;
        auto parsed = parseCallerBody(body, request);
        return parsed ? "" : parsed.error().message;
    };
    EXPECT_EQ(errorOf(R"({"statements": [{"sql": "SELECT 1"}]})"), "");
    EXPECT_NE(errorOf(R"({"statements": [{"sql": 1}]})").find("statements[0].sql"), std::string::npos);
    EXPECT_NE(errorOf(R"({"statements": [{"sql": "SELECT 1", "parameters": [[]]}]})").find("parameters[0]"),
        std::string::npos);
    EXPECT_NE(errorOf(R"({"statements": []})").find("statements"), std::string::npos);
    EXPECT_NE(errorOf(R"({"statement": []})").find("statement"), std::string::npos);
    EXPECT_NE(errorOf(R"({"statements": [{"sql": "COMMIT"}]})").find("COMMIT"), std::string::npos);
}

RC_GTEST_PROP(ResultJson, ReadsBackWhatWasWritten, (const std::vector<std::vector<std::string>>& rows))
{
    ResultSet set;
    set.columns = { "a", "b" };
    for (const auto& row : rows)
        set.rows.emplace_back(row.begin(), row.end());
    set.rows.push_back({ std::nullopt });
    set.affected = rows.size();
    auto read = readResults(writeResults({ set }));
    RC_ASSERT(read && read->size() == 1 && read->front() == set);
}
