#include "../LogSearch.h"
#include "../RawBackend.h"
#include "../RouterFixture.h"

#include <future>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// A router whose engines count as silent after 200 ms without an event. Only the first of its two decode engines is
/// registered when a stream begins.
struct SilentEndRouter : RouterFixture {
    SilentEndRouter()
    {
        auto configuration = configurationOf(4);
        for (auto& route : configuration["routes"].as_array()) {
            route.as_object()["targetLatencyMs"] = 100;
            route.as_object()["targetGapMs"] = 50;
        }
        platform.put("config", "main", std::move(configuration));
        platform.remove("servers", "decode-2");
        startAndWait();
        router->log().setMinimumLevel(LogLevel::Info);
    }
    ~SilentEndRouter() { stop(); }

    /// Starts a stream at the first engine, and registers the second one when it runs.
    auto beginStream(const std::vector<HttpHeader>& headers = {}) -> std::future<HttpResult<HttpResponse>>
    {
        auto response = std::async(std::launch::async, [this, headers] { return streamCall("/resumed/x", headers); });
        REQUIRE(waitUntil([&] { return decode1.runs() == 1; }));
        registerServer(decode2, "llm", "decode");
        return response;
    }

    auto checkComplete(const HttpResult<HttpResponse>& response, int firstEvent = 1, int lastEvent = 5) -> void
    {
        REQUIRE(response.has_value());
        CHECK(response->status == 200);
        CHECK(response->body == streamText(firstEvent, lastEvent));
        CHECK(decode1.runs() == 1);
    }
};

}

// Guards against a stream that is cut although its caller has every event: its engine is silent for a moment before the
// end, and the one that replaces it has nothing to add.
TEST_CASE("a stream whose engine is silent before the end is completed by that engine")
{
    SilentEndRouter fixture;
    fixture.decode1.setEndDelay(500ms);
    auto running = fixture.beginStream();
    fixture.checkComplete(running.get());
    CHECK(fixture.decode2.runs() >= 1);
}

// The same for a stream that its caller takes up, and for a stream of one event.
TEST_CASE("a stream of any form whose engine is silent before the end is completed")
{
    SilentEndRouter fixture;
    fixture.decode1.setEndDelay(500ms);
    SECTION("taken up by its caller")
    {
        auto running = fixture.beginStream({ { "Last-Event-Id", "2" } });
        fixture.checkComplete(running.get(), 3);
    }
    SECTION("one event")
    {
        fixture.decode1.setEvents(1);
        fixture.decode2.setEvents(1);
        auto running = fixture.beginStream();
        fixture.checkComplete(running.get(), 1, 1);
    }
    CHECK(fixture.decode2.runs() >= 1);
}

// The same for an answer without a length, whose end is that of its connection. A reset is no end.
TEST_CASE("a stream without a length whose engine is silent before the end is completed by that engine")
{
    const auto isReset = GENERATE(false, true);
    SilentEndRouter fixture;
    std::atomic<int> decodes { 0 };
    RawBackend backend(fixture.threads, [&](const RawRequest& request) {
        if (request.target.starts_with("/-/") || !request.stage.empty())
            return RawReply { validControlResponse(request) };
        const auto head = "HTTP/1.1 200 OK\r\n" + idField(request) + "Server-Seal: s\r\nContent-Type: text/event-stream\r\n";
        if (++decodes == 1)
            return RawReply { .bytes = head + "\r\n" + streamText(1, 5), .closes = true, .resets = isReset, .closeDelay = 500ms };
        return RawReply { head + "Content-Length: 0\r\n\r\n" };
    });
    fixture.platform.remove("servers", "decode-1");
    for (const auto* id : { "raw-1", "raw-2" })
        fixture.platform.put("servers", id, serverEntry(backend.endpoint(), "llm", "decode"));
    REQUIRE(fixture.waitUntil([&] { return firstLogged(fixture.router->log(), "backend_changed", "backend").has_value(); }));
    std::this_thread::sleep_for(100ms);
    const auto response = fixture.streamCall("/resumed/x");
    CHECK(decodes > 1);
    CHECK(response.has_value() == !isReset);
    if (response.has_value())
        CHECK(response->body == streamText(1, 5));
    fixture.stop();
}

// The same for an end that comes while the new attempt still prefills.
TEST_CASE("a stream ends with its silent engine while its replacement prefills")
{
    SilentEndRouter fixture;
    fixture.decode1.setEndDelay(500ms);
    auto running = fixture.beginStream();
    fixture.prefill.setTiming(600ms, Duration::zero());
    const auto startedAt = monotonicNow();
    fixture.checkComplete(running.get());
    CHECK(monotonicNow() - startedAt < 600ms);
    CHECK(fixture.prefill.prefills() >= 1);
    CHECK(fixture.decode2.runs() == 0);
}

// Guards against a stream that is cut because the engine that replaces its silent one fails, although the silent one goes
// on.
TEST_CASE("a stream goes on at its silent engine when its replacement fails")
{
    SilentEndRouter fixture;
    fixture.decode1.setSilent(true);
    const auto failsInPrefill = GENERATE(false, true);
    const auto behaviour = GENERATE(Behaviour::Reject, Behaviour::DropConnection);
    CAPTURE(failsInPrefill);
    fixture.decode2.setBehaviour(behaviour);
    auto running = fixture.beginStream();
    if (failsInPrefill)
        fixture.prefill.setBehaviour(behaviour);
    REQUIRE(fixture.waitUntil([&] { return firstLogged(fixture.router->log(), "fallback_continued", "tokens").has_value(); }));
    // No other replacement is tried.
    fixture.decode2.setFull(true);
    fixture.decode1.setSilent(false);
    fixture.checkComplete(running.get());
}

// Guards against a stream that runs at two engines at once: the silent one is left as soon as the other one continues.
TEST_CASE("a silent engine loses its stream when another one continues it")
{
    SilentEndRouter fixture;
    fixture.decode1.setSilent(true);
    auto running = fixture.beginStream();
    const auto response = running.get();
    REQUIRE(response.has_value());
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.decode2.runs() == 1);
    CHECK(firstLogged(fixture.router->log(), "fallback_ended", "reason") == "replaced");
    CHECK(fixture.waitUntil([&] { return fixture.decode1.closedRuns() == 1; }));
}

// Guards against a stream that goes on at a silent engine after its caller has left.
TEST_CASE("a silent engine loses its stream when the caller leaves")
{
    SilentEndRouter fixture;
    fixture.decode1.setSilent(true);
    fixture.decode2.setSilent(true);
    fixture.prefill.setTiming(700ms, Duration::zero());
    HttpRequest request { "POST", "/resumed/x", { { "Host", "a.example" }, { "Request-Id", "r" }, { "Deadline-Ms", "1800" }, { "Model", "m" }, { "Token-Counts", "100,200" } }, "prompt" };
    auto stream = runOn(fixture.threads, 0, fixture.threads.client(0).open(fixture.router->endpoint(), std::move(request), 5s));
    REQUIRE(stream.has_value());
    REQUIRE(runOn(fixture.threads, 0, (*stream)->readSome(2s)).has_value());
    fixture.registerServer(fixture.decode2, "llm", "decode");
    REQUIRE(fixture.waitUntil([&] { return firstLogged(fixture.router->log(), "fallback_kept", "tokens").has_value(); }));
    boost::asio::post(fixture.threads.context(0), [closed = *stream] { closed->close(); });
    CHECK(fixture.waitUntil([&] { return fixture.decode1.closedRuns() == 1; }));
}
