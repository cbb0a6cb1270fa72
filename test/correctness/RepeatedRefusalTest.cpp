#include "../LogSearch.h"
#include "../RawBackend.h"
#include "../RouterFixture.h"

#include <map>

using namespace jayhold;
using namespace jayhold::test;

namespace {

const std::string notExecuted = "Not-Executed: 1\r\n";
const std::string seal = "Server-Seal: s\r\n";

/// A router whose plain service has a given number of servers, which all send what the script says.
struct PlainFixture : RouterFixture {
    explicit PlainFixture(int servers, RawBackend::Script script)
        : backend(threads, std::move(script))
    {
        platform.remove("servers", "plain-1");
        platform.remove("servers", "plain-2");
        for (auto server = 1; server <= servers; ++server)
            platform.put("servers", "raw-" + std::to_string(server), serverEntry(backend.endpoint(), "ledger", {}));
        startAndWait();
    }

    /// @return the status of the answer to a call that may not be repeated; 0 if there is none.
    auto post() -> unsigned
    {
        const auto response = call("POST", "/post/x");
        return response.has_value() ? response->status : 0;
    }

    /// Same, with a given id, or without one if it is empty.
    auto postAgain(const std::string& id) -> unsigned
    {
        HttpRequest request { "POST", "/post/x", { { "Host", "a.example" }, { "Deadline-Ms", "1500" } }, {} };
        if (!id.empty())
            request.headers.push_back({ "Request-Id", id });
        const auto response = runOn(threads, 0, threads.client(0).request(router->endpoint(), std::move(request), 5s));
        return response.has_value() ? response->status : 0;
    }

    RawBackend backend;
};

/// A router whose model service has one engine of each role, which both send what the script says.
struct ModelFixture : RouterFixture {
    explicit ModelFixture(RawBackend::Script script)
        : backend(threads, std::move(script))
    {
        for (const auto* id : { "prefill-1", "decode-1", "decode-2" })
            platform.remove("servers", id);
        platform.put("servers", "raw-prefill", serverEntry(backend.endpoint(), "llm", "prefill"));
        platform.put("servers", "raw-decode", serverEntry(backend.endpoint(), "llm", "decode"));
        startAndWait();
    }

    RawBackend backend;
};

/// Answers a decode with two events.
auto decodeAnswer(const RawRequest& request) -> std::string
{
    return rawResponse(200, idField(request) + seal + "Content-Type: text/event-stream\r\n", streamText(1, 2));
}

auto logged(RouterFixture& fixture, std::string_view event, std::string_view key) -> std::string
{
    return firstLogged(fixture.router->log(), event, key).value_or("missing");
}

auto isDecode(const RawRequest& request) -> bool
{
    return !request.target.starts_with("/-/") && request.stage.empty();
}

}

// Guards against a caller that is told "not run", and against a second run at another server, because of an
// answer that does not repeat the id of the request.
TEST_CASE("an answer to a plain call without its id says nothing about the call")
{
    const auto status = GENERATE(200, 400, 421, 429, 500, 503);
    const auto field = GENERATE(std::string("Not-Executed: 1\r\n"), std::string("Other: 1\r\n"));
    CAPTURE(status, field);
    PlainFixture fixture(2, [&](const RawRequest&) { return RawReply { rawResponse(status, field + seal) }; });
    fixture.router->log().setMinimumLevel(LogLevel::Info);
    CHECK(fixture.post() == 502);
    CHECK(fixture.backend.calls() == 1);
    CHECK(logged(fixture, "attempt_failed", "detail").ends_with("without the id of the request"));
}

// Guards against a call that counts as not run, and is sent again, because of Not-Executed with a status other than
// 400, 429 and 503.
TEST_CASE("Not-Executed counts only with its statuses")
{
    const auto status = GENERATE(200, 500, 502);
    CAPTURE(status);
    PlainFixture fixture(2, [status](const RawRequest& request) { return RawReply { rawResponse(status, idField(request) + seal + notExecuted) }; });
    CHECK(fixture.post() == static_cast<unsigned>(status));
    CHECK(fixture.backend.calls() == 1);
}

// Guards against a request that fails although a full server has rejected it and another one could run it.
TEST_CASE("a call that a server rejects with its id is sent to another server")
{
    const auto status = GENERATE(421, 429, 503);
    std::atomic<int> calls { 0 };
    PlainFixture fixture(2, [&](const RawRequest& request) { return RawReply { ++calls == 1 ? rejectionOf(request, status) : validResponse(request) }; });
    CHECK(fixture.post() == 200);
    CHECK(calls == 2);
}

// Guards against a call that fails because the server at its address is another one, which need not add Not-Executed
// to a 421.
TEST_CASE("a call that another server rejects as misdirected is sent to another server")
{
    std::atomic<int> calls { 0 };
    PlainFixture fixture(2, [&](const RawRequest& request) { return RawReply { ++calls == 1 ? rawResponse(421, idField(request)) : validResponse(request) }; });
    CHECK(fixture.post() == 200);
    CHECK(calls == 2);
}

// Guards against a prefill or a decode that counts as not run, or as done, because of an answer without the id of
// the request.
TEST_CASE("an answer to a model request without its id says nothing about the request")
{
    const auto status = GENERATE(200, 421, 429, 503);
    CAPTURE(status);
    ModelFixture fixture([&](const RawRequest& request) {
        if (!isDecode(request))
            return RawReply { validControlResponse(request) };
        const auto type = std::string("Content-Type: text/event-stream\r\n");
        return RawReply { rawResponse(status, notExecuted + seal + type, "id: 1\ndata: x\n\n") };
    });
    const auto response = fixture.streamCall("/once/x");
    REQUIRE(response.has_value());
    CHECK(response->status == 502);
    CHECK(response->body.find("data: x") == std::string::npos);
}

// Guards against a decode that starts from the result of another request's prefill.
TEST_CASE("a prefill result without the id of the request is not used")
{
    std::atomic<bool> isUsed { false };
    ModelFixture fixture([&](const RawRequest& request) {
        isUsed = isUsed || !request.cacheSource.empty();
        if (request.stage == "prefill")
            return RawReply { rawResponse(200, seal, R"({"handleId":"other","tokens":100,"version":1})") };
        return RawReply { isDecode(request) ? rejectionOf(request) : validControlResponse(request) };
    });
    REQUIRE(fixture.streamCall("/once/x").has_value());
    CHECK_FALSE(isUsed);
}

// Guards against a request that uses the reservation of another one: a repeated answer to a control call has no id
// by which it could be told from the answer to the next one.
TEST_CASE("a repeated answer to a reservation is not the answer to the next one")
{
    std::map<int, std::string> answers;
    std::vector<std::string> used;
    ModelFixture fixture([&](const RawRequest& request) {
        if (isDecode(request))
            used.push_back(request.cacheHold);
        if (request.target != "/-/hold-take")
            return RawReply { isDecode(request) ? decodeAnswer(request) : validControlResponse(request) };
        const auto seat = rawResponse(200, "", R"({"hold":"seat-)" + std::to_string(answers.size()) + R"("})");
        return RawReply { answers.emplace(request.connection, seat).first->second };
    });
    for (auto call = 0; call < 3; ++call)
        CHECK(fixture.streamCall("/once/x")->body == streamText(1, 2));
    // The second reservation of each stream replaces its first one.
    CHECK(used == std::vector<std::string> { "seat-1", "seat-3", "seat-5" });
}

// Guards against a caller that is told "not run" because of an answer to an earlier call, which the server sends
// again when it gets the next call on the connection.
TEST_CASE("a repeated rejection is not the answer to the next call")
{
    const bool answersNext = GENERATE(true, false);
    std::map<int, std::string> rejections;
    PlainFixture fixture(1, [&](const RawRequest& request) {
        const auto [rejection, isFirst] = rejections.emplace(request.connection, rejectionOf(request));
        return RawReply { isFirst ? rejection->second : rejection->second + (answersNext ? validResponse(request) : ""), !isFirst && !answersNext };
    });
    fixture.router->log().setMinimumLevel(LogLevel::Info);
    CHECK(fixture.post() == 503);
    CHECK(fixture.post() == (answersNext ? 200 : 502));
    CHECK(logged(fixture, "response_skipped", "backend") == "raw-1");
    CHECK(logged(fixture, "response_skipped", "status") == "503");
    // The connection on which the unexpected answer arrived is not used again, so this is a new one.
    CHECK(fixture.post() == 503);
}

// Guards against "not run" for a request that a server runs, because of its rejection of an earlier attempt with the
// same id.
TEST_CASE("a repeated rejection of a request with the same id is not the answer to its next attempt")
{
    std::map<int, std::string> rejections;
    PlainFixture fixture(1, [&](const RawRequest& request) {
        const auto [rejection, isFirst] = rejections.emplace(request.connection, rejectionOf(request));
        return RawReply { request.connection == 1 ? rejection->second : validResponse(request) };
    });
    CHECK(fixture.postAgain("same") == 503);
    CHECK(fixture.postAgain("same") == 200);
}

// Guards against "not run" for a call without an id, whose answer has none by which an earlier one could be told
// from it.
TEST_CASE("a call without an id is sent on a connection that has carried no other")
{
    PlainFixture fixture(1, [](const RawRequest& request) {
        const auto fields = request.id.empty() ? seal : seal + idField(request);
        return RawReply { request.call > 1 ? rawResponse(503, notExecuted) : rawResponse(200, fields, "ok") };
    });
    CHECK(fixture.postAgain("first") == 200);
    CHECK(fixture.postAgain("") == 200);
    CHECK(fixture.postAgain("") == 200);
}

// Guards against "not run" for a call that the router sent twice because a kept connection had closed: the server
// may have run the first one, and rejected only the second.
TEST_CASE("a rejection of a call that was sent twice does not say that it was not run")
{
    PlainFixture fixture(1, [](const RawRequest& request) {
        const auto isLost = request.connection == 1 && request.call == 2;
        return RawReply { isLost ? "" : request.connection == 1 ? validResponse(request)
                                                                : rejectionOf(request),
            isLost };
    });
    fixture.router->log().setMinimumLevel(LogLevel::Info);
    CHECK(fixture.call("GET", "/read/x")->status == 200);
    CHECK(fixture.call("GET", "/read/x")->status == 502);
    // The answered call, the lost one, and that one sent again.
    CHECK(fixture.backend.calls() == 3);
    CHECK_THAT(logged(fixture, "attempt_failed", "detail"), Catch::Contains("rejected after the call had been sent again"));
}
