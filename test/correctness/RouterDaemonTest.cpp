#include "../RouterFixture.h"

#include <future>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// The thread of a caller may see a response this much later than it was sent.
constexpr auto wakeUpTime = 20ms;

}

// Guards against a request or a response that is changed by the router, and against header fields that
// a caller must not set.
TEST_CASE("a plain call is forwarded unchanged")
{
    RouterFixture fixture;
    fixture.startAndWait();
    const auto response = fixture.call("POST", "/post/x?a=1", "body", { { "Cache-Source", "10.0.0.1:1/stolen" }, { "Stage", "prefill" }, { "X-Own", "kept" }, { "Connection", "X-Hop" }, { "X-Hop", "dropped" } });
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == "POST /post/x?a=1 body");
    CHECK(findHeader(response->headers, "Server-Seal")->starts_with("seal-plain-"));
    const auto& used = fixture.plain1.runs() ? fixture.plain1 : fixture.plain2;
    const auto request = used.lastRequest();
    CHECK(findHeader(request.headers, "Host") == "A.example:80");
    CHECK(findHeader(request.headers, "X-Own") == "kept");
    CHECK_FALSE(findHeader(request.headers, "X-Hop"));
    CHECK_FALSE(findHeader(request.headers, "Cache-Source"));
    CHECK_FALSE(findHeader(request.headers, "Stage"));
    const auto remaining = std::stoi(std::string(*findHeader(request.headers, "Deadline-Ms")));
    CHECK(remaining <= 1'500);
    CHECK(remaining > 1'000);
}

// Guards against a second run of a call that is not repeatable, and against a status that claims that
// it did not run.
TEST_CASE("a call that is not repeatable runs once, and its loss is not reported as not run")
{
    const auto behaviour = GENERATE(Behaviour::DropConnection, Behaviour::WrongRequestId);
    RouterFixture fixture;
    fixture.plain1.setBehaviour(behaviour);
    fixture.plain2.setBehaviour(behaviour);
    fixture.startAndWait();
    const auto response = fixture.call("POST", "/post/x");
    REQUIRE(response.has_value());
    CHECK((response->status == 502 || response->status == 504));
    CHECK(fixture.plain1.runs() + fixture.plain2.runs() == 1);
}

// Guards against a refusal although another backend server could answer, and against a refusal that
// does not state that the call did not run.
TEST_CASE("a rejected call is sent to another server, and is refused as not run if all reject it")
{
    RouterFixture fixture;
    fixture.plain1.setBehaviour(Behaviour::Reject);
    fixture.startAndWait();
    for (auto index = 0; index < 4; ++index)
        CHECK(fixture.call("POST", "/post/x")->status == 200);
    CHECK(fixture.plain1.runs() == 0);
    fixture.plain2.setBehaviour(Behaviour::Reject);
    const auto refused = fixture.call("POST", "/post/x");
    CHECK(refused->status == 503);
    CHECK(std::stod(std::string(*findHeader(refused->headers, "Retry-After"))) > 0);
}

// Guards against an idempotent call that fails because its first backend server fails.
TEST_CASE("an idempotent call is retried, and an error of the last backend server is forwarded")
{
    RouterFixture fixture;
    fixture.plain1.setBehaviour(Behaviour::Fail);
    fixture.startAndWait();
    for (auto index = 0; index < 4; ++index)
        CHECK(fixture.call("GET", "/read/x")->status == 200);
    fixture.plain2.setBehaviour(Behaviour::Fail);
    const auto failed = fixture.call("GET", "/read/x");
    CHECK(failed->status == 500);
    CHECK(findHeader(failed->headers, "Server-Seal"));
}

// Guards against an instance that retries nothing in its first seconds, because it has not counted the
// instances that share the budget (found by the soak test, seed 6109).
TEST_CASE("an instance that has just started earns retries from its first requests")
{
    RouterFixture fixture;
    fixture.sharesRetries = true;
    fixture.startAndWait();
    constexpr auto requestsPerRetry = 5;
    for (auto index = 0; index < 2 * requestsPerRetry; ++index)
        CHECK(fixture.call("GET", "/read/x")->status == 200);
    fixture.plain1.setBehaviour(Behaviour::Fail);
    for (auto index = 0; index < 2; ++index)
        CHECK(fixture.call("GET", "/read/x")->status == 200);
}

// Guards against backend servers that are ejected because callers cancelled their calls.
TEST_CASE("cancelled calls do not count as failures of the backend servers")
{
    RouterFixture fixture;
    fixture.plain1.setBehaviour(Behaviour::Stall);
    fixture.plain2.setBehaviour(Behaviour::Stall);
    fixture.startAndWait();
    for (auto index = 0; index < 8; ++index) {
        HttpRequest request { "GET", "/read/x", { { "Host", "a.example" }, { "Request-Id", "left-" + std::to_string(index) }, { "Deadline-Ms", "1500" } }, {} };
        const auto cancelled = runOn(fixture.threads, 0, fixture.threads.client(0).request(fixture.router->endpoint(), std::move(request), 40ms));
        REQUIRE(cancelled.has_error());
    }
    fixture.plain1.setBehaviour(Behaviour::Answer);
    fixture.plain2.setBehaviour(Behaviour::Answer);
    CHECK(fixture.call("GET", "/read/x")->status == 200);
}

// Guards against an engine that is given more time than the caller waits, because the remaining time was
// computed before the slot reservation.
TEST_CASE("an engine gets the time that is left when its call is sent")
{
    RouterFixture fixture;
    fixture.decode1.setReservationTime(250ms);
    fixture.decode2.setReservationTime(250ms);
    fixture.startAndWait();
    REQUIRE(fixture.streamCall("/resumed/x")->status == 200);
    const auto request = fixture.prefill.lastRequest();
    const auto remaining = findHeader(request.headers, "Deadline-Ms");
    REQUIRE(remaining);
    CHECK(std::stoi(std::string(*remaining)) <= 1'250);
}

// Guards against a stream whose events are changed, and against a prefill that no decode uses.
TEST_CASE("a stream is prefilled, decoded and forwarded unchanged")
{
    RouterFixture fixture;
    fixture.startAndWait();
    const auto response = fixture.streamCall("/once/x");
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == streamText(1, 5));
    CHECK(fixture.prefill.prefills() == 1);
    const auto& used = fixture.decode1.runs() ? fixture.decode1 : fixture.decode2;
    CHECK(findHeader(used.lastRequest().headers, "Cache-Source") == toString(fixture.prefill.endpoint()) + "/h1");
    CHECK(findHeader(used.lastRequest().headers, "Cache-Hold") == "seat");
}

// Guards against an event that is lost or duplicated when a stream resumes on another engine, and
// against a truncated stream that is not repeatable but looks complete.
TEST_CASE("a truncated stream resumes if that is allowed and otherwise ends with an error")
{
    RouterFixture fixture;
    fixture.decode1.setBehaviour(Behaviour::TruncateStream);
    fixture.decode2.setBehaviour(Behaviour::TruncateStream);
    fixture.startAndWait();
    const auto truncated = fixture.streamCall("/once/x");
    CHECK(truncated.has_error());
    CHECK(fixture.decode1.runs() + fixture.decode2.runs() == 1);
    const auto first = fixture.decode1.runs() ? &fixture.decode2 : &fixture.decode1;
    first->setBehaviour(Behaviour::Answer);
    auto complete = 0;
    for (auto index = 0; index < 4; ++index) {
        const auto resumed = fixture.streamCall("/resumed/x");
        REQUIRE(resumed.has_value());
        complete += resumed->body == streamText(1, 5);
    }
    CHECK(complete == 4);
    const auto continued = fixture.streamCall("/resumed/x", { { "Last-Event-Id", "2" } });
    CHECK(continued->body == streamText(3, 5));
}

// Guards against requests that the configuration does not allow.
TEST_CASE("requests without a route and oversized requests are rejected immediately")
{
    RouterFixture fixture;
    fixture.startAndWait();
    CHECK(fixture.call("GET", "/none/x")->status == 404);
    CHECK(fixture.call("POST", "/post/x", std::string(10'001, 'x'))->status == 413);
    CHECK(fixture.call("GET", "/read/x", {}, { { "Long", std::string(9'000, 'x') } })->status == 431);
}

// Guards against an instance that reports ready, or responds with 404, before it has a configuration.
TEST_CASE("an instance without a store is not ready and refuses as not run")
{
    RouterFixture fixture;
    fixture.platform.setDown(true);
    fixture.start();
    CHECK_FALSE(fixture.isReady());
    const auto refused = fixture.call("GET", "/read/x");
    CHECK(refused->status == 503);
    CHECK(findHeader(refused->headers, "Retry-After"));
    fixture.platform.setDown(false);
    CHECK(fixture.waitUntil([&] { return fixture.isReady(); }));
    CHECK(fixture.call("GET", "/read/x")->status == 200);
}

// Guards against an outage of the store that stops the traffic, and against a return to an older
// configuration version.
TEST_CASE("an instance keeps serving without its store and ignores an older configuration")
{
    RouterFixture fixture;
    fixture.startAndWait();
    fixture.platform.setDown(true);
    std::this_thread::sleep_for(300ms);
    CHECK(fixture.call("GET", "/read/x")->status == 200);
    auto older = configurationOf(2);
    older["routes"] = json::array();
    fixture.platform.put("config", "main", std::move(older));
    fixture.platform.setDown(false);
    std::this_thread::sleep_for(1s);
    CHECK(fixture.call("GET", "/read/x")->status == 200);
    auto newer = configurationOf(4);
    newer["routes"] = json::array();
    fixture.platform.put("config", "main", std::move(newer));
    CHECK(fixture.waitUntil([&] { return fixture.call("GET", "/read/x")->status == 404; }));
}

// Guards against a change that a watch misses because the store has discarded its history.
TEST_CASE("a change is detected after the store has discarded its history")
{
    RouterFixture fixture;
    fixture.startAndWait();
    std::this_thread::sleep_for(50ms);
    auto newer = configurationOf(4);
    newer["routes"] = json::array();
    fixture.platform.put("config", "main", std::move(newer));
    fixture.platform.compact();
    const auto since = monotonicNow();
    CHECK(fixture.waitUntil([&] { return fixture.call("GET", "/read/x")->status == 404; }));
    CHECK(monotonicNow() - since < 1s);
}

// Guards against new work for a backend server that is draining or has been removed.
TEST_CASE("a draining backend server gets no new work")
{
    RouterFixture fixture;
    fixture.startAndWait();
    fixture.registerServer(fixture.plain1, "ledger", {}, "draining");
    std::this_thread::sleep_for(200ms);
    const auto before = fixture.plain1.runs();
    for (auto index = 0; index < 6; ++index)
        CHECK(fixture.call("GET", "/read/x")->status == 200);
    CHECK(fixture.plain1.runs() == before);
    fixture.platform.remove("servers", "plain-2");
    std::this_thread::sleep_for(200ms);
    CHECK(fixture.call("GET", "/read/x")->status == 503);
}

// Guards against a shutdown that rejects requests while the load balancer still sends them.
TEST_CASE("a shutting-down instance keeps serving until the deregistration delay has passed")
{
    RouterFixture fixture;
    fixture.startAndWait();
    std::atomic<bool> isDrained { false };
    fixture.router->onDrained([&](bool isComplete) { isDrained = isComplete; });
    fixture.router->startDraining();
    CHECK_FALSE(fixture.isReady());
    const auto response = fixture.call("GET", "/read/x");
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(findHeader(response->headers, "Connection") == "close");
    CHECK(fixture.waitUntil([&] { return isDrained.load(); }));
    CHECK(fixture.call("GET", "/read/x").has_error());
}

// Guards against a shutdown that ends the process while a call runs, so that its caller gets no answer, and against
// an answer that claims that the call did not run.
TEST_CASE("a call that runs at the end of a shutdown is answered with an unknown outcome before the process ends")
{
    RouterFixture fixture;
    fixture.drainTimeout = 1s;
    fixture.plain1.setTiming(2s, 0s);
    fixture.plain2.setTiming(2s, 0s);
    fixture.startAndWait();
    std::promise<std::pair<bool, TimePoint>> drained;
    fixture.router->onDrained([&](bool isComplete) { drained.set_value({ isComplete, monotonicNow() }); });
    std::thread shutdown([&] {
        std::this_thread::sleep_for(100ms);
        fixture.router->startDraining();
    });
    const auto response = fixture.call("POST", "/post/x");
    const auto respondedAt = monotonicNow();
    shutdown.join();
    REQUIRE(response.has_value());
    CHECK(response->status == 502);
    CHECK_THAT(response->body, Catch::Contains(R"("ran":"unknown")"));
    const auto [isComplete, drainedAt] = drained.get_future().get();
    CHECK_FALSE(isComplete);
    CHECK(respondedAt < drainedAt + wakeUpTime);
}

// Guards against a stream that waits for a slot when the process ends, and gets neither an answer nor a refusal.
TEST_CASE("a stream that waits for a slot at the end of a shutdown is refused as not run")
{
    RouterFixture fixture;
    fixture.drainTimeout = 1s;
    // The decode engines don't answer the slot reservation in time, so the prefill does not begin.
    fixture.decode1.setReservationTime(3s);
    fixture.decode2.setReservationTime(3s);
    fixture.startAndWait();
    std::promise<TimePoint> drained;
    fixture.router->onDrained([&](bool) { drained.set_value(monotonicNow()); });
    std::thread shutdown([&] {
        std::this_thread::sleep_for(100ms);
        fixture.router->startDraining();
    });
    const auto response = fixture.streamCall("/resumed/x");
    const auto respondedAt = monotonicNow();
    shutdown.join();
    REQUIRE(response.has_value());
    CHECK(response->status == 503);
    CHECK(findHeader(response->headers, "Retry-After"));
    CHECK_THAT(response->body, Catch::Contains(R"("ran":"no")"));
    CHECK(respondedAt < drained.get_future().get() + wakeUpTime);
}
