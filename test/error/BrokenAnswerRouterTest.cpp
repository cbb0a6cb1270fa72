#include "../EarlyServer.h"
#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// Fits in the buffers of a connection.
constexpr std::size_t smallUpload = 1'000;
/// Does not fit.
constexpr std::size_t largeUpload = 12U << 20U;

/// A router whose servers are one process that breaks the answers to the chosen calls.
struct BrokenAnswerRouter : RouterFixture {
    BrokenAnswerRouter()
    {
        for (const auto* id : { "plain-1", "plain-2", "prefill-1", "decode-1", "decode-2" })
            platform.remove("servers", id);
        for (const std::string number : { "1", "2" }) {
            platform.put("servers", "raw-plain-" + number, serverEntry(server.endpoint(), "ledger", {}));
            platform.put("servers", "raw-prefill-" + number, serverEntry(server.endpoint(), "llm", "prefill"));
            platform.put("servers", "raw-decode-" + number, serverEntry(server.endpoint(), "llm", "decode"));
        }
        auto configuration = configurationOf(4);
        configuration["limits"].as_object()["maxBodyBytes"] = largeUpload;
        platform.put("config", "main", std::move(configuration));
        startAndWait();
        // Opens a connection that the next call reuses.
        REQUIRE(waitUntil([&] { return call("GET", "/read/warm")->status == 200; }));
    }
    ~BrokenAnswerRouter() { stop(); }
    BrokenAnswerRouter(const BrokenAnswerRouter&) = delete;
    auto operator=(const BrokenAnswerRouter&) -> BrokenAnswerRouter& = delete;

    /// @param calls "plain", "prefill" or "decode".
    /// @param bytes makes the response to a request.
    auto breakAnswers(const std::string& calls, std::function<std::string(const RawRequest&)> bytes, std::optional<EarlyEnding> ending) -> void
    {
        const std::lock_guard guard(lock);
        brokenCalls = calls;
        brokenBytes = std::move(bytes);
        brokenEnding = ending;
        seen = 0;
    }

    auto reply(const RawRequest& request) -> EarlyServer::Reply
    {
        const std::lock_guard guard(lock);
        const auto isDecode = request.target.ends_with("/m") && request.stage.empty();
        const auto isPlain = request.target.starts_with("/post/") || request.target == "/read/x";
        const auto sort = isDecode ? "decode" : isPlain ? "plain"
                                                        : request.stage;
        if (sort == brokenCalls) {
            ++seen;
            return { brokenBytes(request), brokenEnding, 20ms };
        }
        if (isDecode)
            return { rawResponse(200, idField(request) + "Server-Seal: s\r\nContent-Type: text/event-stream\r\n", streamText(1, 12)) };
        if (request.target.starts_with("/-/") || !request.stage.empty())
            return { validControlResponse(request) };
        return { validResponse(request) };
    }

    auto send(const std::string& target, std::size_t bytes) -> HttpResult<HttpResponse>
    {
        if (target.ends_with("/m"))
            return call("POST", target, std::string(bytes, 'x'), { { "Model", "m" }, { "Token-Counts", "100,200" } });
        return call(target.starts_with("/read/") ? "GET" : "POST", target, std::string(bytes, 'x'));
    }

    std::mutex lock;
    std::string brokenCalls = "none";
    std::function<std::string(const RawRequest&)> brokenBytes;
    std::optional<EarlyEnding> brokenEnding;
    /// Number of calls of the chosen sort.
    std::atomic<int> seen { 0 };
    EarlyServer server { threads, [this](const RawRequest& request) { return reply(request); } };
};

auto openHead(const RawRequest& request, const std::string& type) -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + idField(request) + "Server-Seal: s\r\nContent-Type: " + type + "\r\n\r\n";
}

/// @return whether a caller can't take the result for a complete answer of a server.
auto isError(const HttpResult<HttpResponse>& result) -> bool
{
    return result.has_error() || result->status == 502;
}

}

// Guards against a caller that receives a part of a body as a complete response, and against a call that runs again
// although it must not.
TEST_CASE("a plain call whose server resets an early response without a length ends with an error")
{
    BrokenAnswerRouter fixture;
    for (const auto bytes : { smallUpload, largeUpload }) {
        for (const std::string target : { "/post/x", "/read/x" }) {
            CAPTURE(bytes, target);
            fixture.breakAnswers(
                "plain", [](const RawRequest& request) { return openHead(request, "text/plain") + "part"; }, EarlyEnding::Reset);
            const auto response = fixture.send(target, bytes);
            REQUIRE(response.has_value());
            CHECK(response->status == 502);
            CHECK_THAT(response->body, Catch::Contains(R"("ran":"unknown")"));
            CHECK(fixture.seen == (target == "/read/x" ? 2 : 1));
            // Successes end the ejection of the servers.
            fixture.breakAnswers("none", {}, {});
            CHECK(fixture.waitUntil([&] { return fixture.call("GET", "/read/x")->status == 200 && fixture.call("GET", "/read/x")->status == 200; }));
        }
        fixture.breakAnswers(
            "plain", [](const RawRequest& request) { return openHead(request, "text/plain") + "all"; }, EarlyEnding::Close);
        const auto response = fixture.send("/post/x", bytes);
        REQUIRE(response.has_value());
        CHECK(response->status == 200);
        CHECK(response->body == "all");
    }
}

// Guards against a stream without a length that counts as complete after a reset.
TEST_CASE("a stream whose engine resets an early response without a length does not appear complete")
{
    BrokenAnswerRouter fixture;
    const auto bytes = GENERATE(smallUpload, largeUpload);
    const auto ending = GENERATE(EarlyEnding::Reset, EarlyEnding::Close);
    CAPTURE(bytes, static_cast<int>(ending));
    fixture.breakAnswers(
        "decode", [](const RawRequest& request) { return openHead(request, "text/event-stream") + streamText(1, 2); }, ending);
    const auto response = fixture.send("/once/m", bytes);
    CHECK(isError(response) == (ending == EarlyEnding::Reset));
    if (ending == EarlyEnding::Close)
        CHECK(response->body == streamText(1, 2));
    CHECK(fixture.seen == 1);
}

// Guards against a caller that receives a status that is none, or a response that a server hid in the body of such a
// response, and against a call that runs again although it must not.
TEST_CASE("a response with an invalid status ends with an error of the instance")
{
    BrokenAnswerRouter fixture;
    const auto line = GENERATE(std::string("000 S"), std::string("099 S"), std::string("600 S"), std::string("1000 S"), std::string("abc S"), std::string());
    const auto body = GENERATE(std::string("body"), std::string("nested"));
    const auto answer = [&](const RawRequest& request) {
        const auto nested = body == "nested" ? request.stage.empty() ? validResponse(request) : validControlResponse(request) : body;
        return "HTTP/1.1 " + line + "\r\n" + idField(request) + "Server-Seal: s\r\nContent-Length: " + std::to_string(nested.size()) + "\r\n\r\n" + nested;
    };
    for (const std::string calls : { "plain", "prefill", "decode" }) {
        CAPTURE(line, body, calls);
        fixture.breakAnswers(calls, answer, {});
        const auto response = fixture.send(calls == "plain" ? "/post/x" : "/once/m", 10);
        REQUIRE(response.has_value());
        CAPTURE(response->body);
        // A request whose prompt could not be read has not run.
        CHECK(response->status == (calls == "prefill" ? 503 : 502));
        CHECK_THAT(response->body, Catch::Contains(calls == "prefill" ? R"("ran":"no")" : R"("ran":"unknown")"));
        if (calls == "plain" || calls == "decode")
            CHECK(fixture.seen == 1);
    }
}
