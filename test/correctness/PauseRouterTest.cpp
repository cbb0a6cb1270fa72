#include "../RouterFixture.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// From this time after its first response with a delay, a server must get nothing.
constexpr Duration reactionTime = 500ms;
/// Within this time a refusal is at once; the deadline of a call is 1.5 s.
constexpr Duration immediately = 300ms;

/// @return all requests that have reached the server, control calls included.
auto received(const FakeBackendServer& server) -> int
{
    return server.requests() + server.controlCalls();
}

auto secondsOf(const HttpResponse& response) -> double
{
    const auto delay = findHeader(response.headers, "Retry-After");
    return delay ? std::stod(std::string(*delay)) : 0;
}

/// A stream that another thread requests.
class EarlyCall {
public:
    explicit EarlyCall(RouterFixture& fixture)
        : m_thread([this, &fixture] { run(fixture); })
    {
    }

    auto wait() -> HttpResult<HttpResponse>
    {
        m_thread.join();
        return *m_response;
    }

private:
    auto run(RouterFixture& fixture) -> void
    {
        HttpRequest request { "POST", "/resumed/x", { { "Host", "a.example" }, { "Request-Id", "early" }, { "Deadline-Ms", "1500" }, { "Model", "m" }, { "Token-Counts", "100,200" } }, "prompt" };
        m_response = runOn(fixture.threads, 1, fixture.threads.client(1).request(fixture.router->endpoint(), std::move(request), 5s));
    }

    std::optional<HttpResult<HttpResponse>> m_response;
    std::jthread m_thread;
};

/// Calls the router for a time, one call after the other.
/// @return the number of responses with another status than 200.
template <typename Call>
auto failuresWithin(Duration time, Call call) -> int
{
    auto failures = 0;
    const auto end = monotonicNow() + time;
    while (monotonicNow() < end) {
        const auto response = call();
        failures += response.has_error() || response->status != 200;
        std::this_thread::sleep_for(5ms);
    }
    return failures;
}

}

// Guards against calls to a server that has asked for a pause, while another server can take them, and against a
// server that is not used after its pause.
TEST_CASE("a plain server that asks for a pause gets nothing until its end, and no call is lost")
{
    RouterFixture fixture;
    fixture.startAndWait();
    const auto call = [&] { return fixture.call("GET", "/read/x"); };
    fixture.plain1.setRetryDelay("2");
    REQUIRE(fixture.waitUntil([&] { return call()->status == 200 && received(fixture.plain1) > 0; }));
    const auto pausedAt = monotonicNow();
    std::this_thread::sleep_for(reactionTime);
    const auto before = received(fixture.plain1);
    // The pause stays when the list of servers changes.
    fixture.registerServer(fixture.plain1, "ledger", {});
    CHECK(failuresWithin(pausedAt + 1900ms - monotonicNow(), call) == 0);
    CHECK(received(fixture.plain1) == before);
    fixture.plain1.setRetryDelay({});
    CHECK(fixture.waitUntil([&] { return call()->status == 200 && received(fixture.plain1) > before; }));
}

// Guards against a process that gets nothing for what the process before it asked for.
TEST_CASE("a restarted server is not paused")
{
    RouterFixture fixture;
    fixture.startAndWait();
    fixture.plain1.setRetryDelay("3600");
    REQUIRE(fixture.waitUntil([&] { return fixture.call("GET", "/read/x")->status == 200 && received(fixture.plain1) > 0; }));
    fixture.plain1.setRetryDelay({});
    auto entry = serverEntry(fixture.plain1.endpoint(), "ledger", {});
    entry["born"] = 1'700'000'900'000;
    fixture.platform.put("servers", fixture.plain1.id(), std::move(entry));
    const auto before = received(fixture.plain1);
    CHECK(fixture.waitUntil([&] { return fixture.call("GET", "/read/x")->status == 200 && received(fixture.plain1) > before; }));
}

// Guards against callers that wait until their deadline, or that are told to return before any server takes calls.
TEST_CASE("if all plain servers are paused, calls are refused at once with a time at which they are served")
{
    RouterFixture fixture;
    fixture.startAndWait();
    fixture.plain1.setRetryDelay("2.5");
    fixture.plain2.setRetryDelay("60");
    const auto startedAt = monotonicNow();
    CHECK(fixture.call("POST", "/post/x")->status == 503);
    const auto before = received(fixture.plain1) + received(fixture.plain2);
    const auto refused = fixture.call("POST", "/post/x");
    const auto refusedAt = monotonicNow();
    CHECK(refusedAt - startedAt < immediately);
    CHECK(refused->status == 503);
    CHECK_THAT(refused->body, Catch::Contains(R"("ran":"no")"));
    CHECK(secondsOf(*refused) > 2.2);
    CHECK(secondsOf(*refused) < 5);
    CHECK(received(fixture.plain1) + received(fixture.plain2) == before);
    fixture.plain1.setRetryDelay({});
    std::this_thread::sleep_until(refusedAt + std::chrono::duration<double>(secondsOf(*refused)));
    CHECK(fixture.call("POST", "/post/x")->status == 200);
    CHECK(fixture.plain2.runs() == 0);
}

// Guards against slot reservations, decodes and other control calls to an engine that has asked for a pause.
TEST_CASE("a decode engine that asks for a pause gets nothing until its end, and no stream is lost")
{
    RouterFixture fixture;
    fixture.startAndWait();
    const auto call = [&] { return fixture.streamCall("/resumed/x"); };
    fixture.decode1.setRetryDelay("2");
    REQUIRE(fixture.waitUntil([&] { return call()->status == 200 && received(fixture.decode1) > 0; }));
    const auto pausedAt = monotonicNow();
    std::this_thread::sleep_for(reactionTime);
    const auto before = received(fixture.decode1);
    CHECK(failuresWithin(pausedAt + 1900ms - monotonicNow(), call) == 0);
    CHECK(received(fixture.decode1) == before);
    fixture.decode1.setRetryDelay({});
    CHECK(fixture.waitUntil([&] { return call()->status == 200 && received(fixture.decode1) > before; }));
}

// Guards against prefills, and releases of prefill results, at an engine that has asked for a pause.
TEST_CASE("a prefill engine that asks for a pause gets nothing until its end")
{
    RouterFixture fixture;
    fixture.startAndWait();
    fixture.prefill.setRetryDelay("2");
    const auto call = [&] { return fixture.streamCall("/resumed/x"); };
    REQUIRE(fixture.waitUntil([&] { return call().has_value() && received(fixture.prefill) > 0; }));
    const auto pausedAt = monotonicNow();
    std::this_thread::sleep_for(reactionTime);
    const auto before = received(fixture.prefill);
    // The decode engines prefill meanwhile.
    CHECK(failuresWithin(pausedAt + 1900ms - monotonicNow(), call) == 0);
    CHECK(received(fixture.prefill) == before);
}

// Guards against a stream that waits until its deadline although no engine takes it before, and against one that is
// refused although an engine returns in time.
TEST_CASE("if all decode engines are paused, streams wait for a return in time and are refused at once otherwise")
{
    RouterFixture fixture;
    fixture.startAndWait();
    fixture.decode1.setRetryDelay("0.6");
    fixture.decode2.setRetryDelay("0.6");
    std::thread recovery([&] {
        std::this_thread::sleep_for(300ms);
        fixture.decode1.setRetryDelay({});
        fixture.decode2.setRetryDelay({});
    });
    const auto waited = fixture.streamCall("/resumed/x");
    recovery.join();
    REQUIRE(waited.has_value());
    CHECK(waited->status == 200);
    fixture.decode1.setRetryDelay("20");
    fixture.decode2.setRetryDelay("20");
    const auto startedAt = monotonicNow();
    const auto refused = fixture.streamCall("/resumed/x");
    CHECK(monotonicNow() - startedAt < immediately);
    REQUIRE(refused.has_value());
    CHECK(refused->status == 503);
    CHECK_THAT(refused->body, Catch::Contains(R"("ran":"no")"));
    CHECK(secondsOf(*refused) > 19.5);
    CHECK(secondsOf(*refused) < 25);
    const auto before = received(fixture.decode1) + received(fixture.decode2);
    CHECK(fixture.streamCall("/once/x")->status == 503);
    CHECK(received(fixture.decode1) + received(fixture.decode2) == before);
}

// Guards against a decode, or the release of a slot or a prefill result, at engines that have asked for a pause while
// the prefill of the request was running.
TEST_CASE("what was reserved before a pause is neither used nor released")
{
    RouterFixture fixture;
    fixture.platform.remove("servers", fixture.decode2.id());
    fixture.prefill.setTiming(600ms, 0ms);
    fixture.startAndWait();
    EarlyCall early(fixture);
    REQUIRE(fixture.waitUntil([&] { return fixture.prefill.requests() > 0; }));
    // The decode engine prefills while the prefill engine is paused.
    fixture.prefill.setRetryDelay("5");
    CHECK(fixture.streamCall("/once/x")->status == 200);
    fixture.decode1.setRetryDelay("5");
    CHECK(fixture.streamCall("/once/x")->status == 503);
    const auto pausedAt = monotonicNow();
    const auto before = received(fixture.decode1);
    const auto beforePrefill = received(fixture.prefill);
    const auto response = early.wait();
    // Control calls in the background would arrive by now.
    std::this_thread::sleep_for(200ms);
    // The prefill was under way at the start of the pauses and ended within them.
    CHECK(monotonicNow() - pausedAt > reactionTime);
    CHECK(received(fixture.decode1) == before);
    CHECK(received(fixture.prefill) == beforePrefill);
    REQUIRE(response.has_value());
    CHECK(response->status == 503);
}
