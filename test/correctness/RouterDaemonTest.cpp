#include "../FakeObjectStore.h"
#include "../HttpTestServer.h"

#include "Platform.h"
#include "RouterDaemon.h"

#include <boost/json/array.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;
namespace json = boost::json;
using Behaviour = FakeBackendServer::Behaviour;

namespace {

auto routeOf(std::string name, std::string prefix, std::string service, std::string kind, int attempts, bool canResume) -> json::object
{
    return { { "name", name }, { "host", "a.example" }, { "pathPrefix", prefix }, { "service", service }, { "kind", kind }, { "timeoutMs", 2'000 },
        { "targetLatencyMs", 500 }, { "targetGapMs", 300 }, { "maxAttempts", attempts }, { "priority", 1 }, { "canResume", canResume }, { "sticky", kind == "streaming" } };
}

auto configurationOf(int version) -> json::object
{
    json::object engine { { "slots", 8 }, { "kvCapacity", 40'000 }, { "kvTokenBytes", 18'432 }, { "linkMbps", 1'000.0 }, { "stride", 11 }, { "kvHoldS", 0.5 }, { "holdMs", 2'000.0 } };
    return { { "version", version },
        { "routes", json::array { routeOf("read", "/read/", "ledger", "idempotent", 2, false), routeOf("post", "/post/", "ledger", "non_idempotent", 1, false), routeOf("resumed", "/resumed/", "llm", "streaming", 2, true), routeOf("once", "/once/", "llm", "streaming", 1, false) } },
        { "services", json::array { json::object { { "name", "ledger" }, { "healthPath", "/health" } }, json::object { { "name", "llm" }, { "engine", std::move(engine) } } } },
        { "limits", json::object { { "maxHeaderBytes", 8'192 }, { "maxBodyBytes", 10'000 }, { "headerTimeoutMs", 500 }, { "idleTimeoutMs", 5'000 } } } };
}

/// A router on the platform's stand-in with two plain replicas, one prefill and two decode engines.
struct Scene {
    Scene()
    {
        platform.put("config", "main", configurationOf(3));
        enter(plain1, "ledger", {});
        enter(plain2, "ledger", {});
        enter(prefill, "llm", "prefill");
        enter(decode1, "llm", "decode");
        enter(decode2, "llm", "decode");
        platform.put("servers", "forged", json::object { { "service", 7 }, { "address", "nowhere" } });
        platform.put("servers", "strange", json::object { { "service", "ledger" }, { "address", "127.0.0.1:1" }, { "zone", "alpine" }, { "state", "asleep" } });
    }
    ~Scene()
    {
        router.reset();
        threads.stop();
    }
    Scene(const Scene&) = delete;
    auto operator=(const Scene&) -> Scene& = delete;

    auto enter(const FakeBackendServer& replica, const std::string& service, const std::string& phase, const std::string& state = "ready") -> void
    {
        json::object entry { { "service", service }, { "address", toString(replica.endpoint()) }, { "zone", "alpine" }, { "state", state }, { "slots", 6 }, { "born", 1'700'000'000'000 } };
        if (!phase.empty())
            entry["phase"] = phase;
        platform.put("servers", replica.id(), std::move(entry));
    }

    auto start() -> void
    {
        platform::Settings settings;
        settings.entry.instance = "entry-1";
        settings.entry.availabilityZone = "alpine";
        settings.entry.listen = { "127.0.0.1", 0 };
        settings.entry.readinessListen = HttpEndpoint { "127.0.0.1", 0 };
        settings.entry.loadListen = HttpEndpoint { "127.0.0.1", 0 };
        settings.entry.drain = 3s;
        settings.entry.deregistrationDelay = 200ms;
        settings.entry.maxPropagationDelay = 600ms;
        settings.entry.logLevel = LogLevel::Error;
        settings.availabilityZones = { { "alpine", "big-bend" } };
        settings.store = platform.endpoint();
        settings.storeCallsPerSecond = 1'000;
        settings.retry = { .ratio = 0.2, .burst = 50, .isShared = true, .countsRejections = true };
        router.emplace(settings.entry, platform::makePlatformAdapter(settings));
    }

    auto isReady() -> bool
    {
        const auto answer = runOn(threads, 0, threads.client(0).request(router->readinessEndpoint(), HttpRequest { .target = "/-/ready" }, 1s));
        return answer.has_value() && answer->status == 200;
    }

    auto startAndWait() -> void
    {
        start();
        REQUIRE(waitUntil([&] { return isReady(); }));
    }

    template <typename Condition>
    auto waitUntil(Condition condition) -> bool
    {
        const auto end = monotonicNow() + 5s;
        while (!condition()) {
            if (monotonicNow() > end)
                return false;
            std::this_thread::sleep_for(10ms);
        }
        return true;
    }

    auto call(std::string method, std::string target, std::string body = {}, std::vector<HttpHeader> headers = {}) -> HttpResult<HttpResponse>
    {
        headers.push_back({ "Host", "A.example:80" });
        headers.push_back({ "Request-Id", "request-" + std::to_string(++requests) });
        headers.push_back({ "Deadline-Ms", "1500" });
        HttpRequest request { std::move(method), std::move(target), std::move(headers), std::move(body) };
        return runOn(threads, 0, threads.client(0).request(router->endpoint(), std::move(request), 5s));
    }

    auto streamCall(std::string target, std::vector<HttpHeader> headers = {}) -> HttpResult<HttpResponse>
    {
        headers.push_back({ "Model", "m" });
        headers.push_back({ "Token-Counts", "100,200" });
        return call("POST", std::move(target), "prompt", std::move(headers));
    }

    IoThreads threads { 2 };
    FakeObjectStore platform { threads };
    FakeBackendServer plain1 { threads, "plain-1" };
    FakeBackendServer plain2 { threads, "plain-2" };
    FakeBackendServer prefill { threads, "prefill-1" };
    FakeBackendServer decode1 { threads, "decode-1" };
    FakeBackendServer decode2 { threads, "decode-2" };
    std::optional<RouterDaemon> router;
    int requests = 0;
};

auto streamText(int first, int last) -> std::string
{
    std::string text;
    for (auto event = first; event <= last; ++event)
        text += "id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + "\n\n";
    return text;
}

}

// Guards against a request or an answer that is changed on its way, and against fields that a caller
// must not set.
TEST_CASE("a plain call passes unchanged")
{
    Scene scene;
    scene.startAndWait();
    const auto answer = scene.call("POST", "/post/x?a=1", "body", { { "Cache-Source", "10.0.0.1:1/stolen" }, { "Stage", "prefill" }, { "X-Own", "kept" }, { "Connection", "X-Hop" }, { "X-Hop", "dropped" } });
    REQUIRE(answer.has_value());
    CHECK(answer->status == 200);
    CHECK(answer->body == "POST /post/x?a=1 body");
    CHECK(findHeader(answer->headers, "Server-Seal")->starts_with("seal-plain-"));
    const auto& used = scene.plain1.runs() ? scene.plain1 : scene.plain2;
    const auto request = used.lastRequest();
    CHECK(findHeader(request.headers, "Host") == "A.example:80");
    CHECK(findHeader(request.headers, "X-Own") == "kept");
    CHECK_FALSE(findHeader(request.headers, "X-Hop"));
    CHECK_FALSE(findHeader(request.headers, "Cache-Source"));
    CHECK_FALSE(findHeader(request.headers, "Stage"));
    const auto left = std::stoi(std::string(*findHeader(request.headers, "Deadline-Ms")));
    CHECK(left <= 1'500);
    CHECK(left > 1'000);
}

// Guards against a second run of a call that may not be repeated, and against a status that promises
// that it did not run.
TEST_CASE("a call that may not be repeated runs once and its loss promises nothing")
{
    const auto behaviour = GENERATE(Behaviour::DropConnection, Behaviour::WrongRequestId);
    Scene scene;
    scene.plain1.setBehaviour(behaviour);
    scene.plain2.setBehaviour(behaviour);
    scene.startAndWait();
    const auto answer = scene.call("POST", "/post/x");
    REQUIRE(answer.has_value());
    CHECK((answer->status == 502 || answer->status == 504));
    CHECK(scene.plain1.runs() + scene.plain2.runs() == 1);
}

// Guards against a refusal where another backend server could answer, and against a refusal that does
// not say that the call did not run.
TEST_CASE("a call that is turned away goes elsewhere and is refused as not run")
{
    Scene scene;
    scene.plain1.setBehaviour(Behaviour::Reject);
    scene.startAndWait();
    for (auto index = 0; index < 4; ++index)
        CHECK(scene.call("POST", "/post/x")->status == 200);
    CHECK(scene.plain1.runs() == 0);
    scene.plain2.setBehaviour(Behaviour::Reject);
    const auto refused = scene.call("POST", "/post/x");
    CHECK(refused->status == 503);
    CHECK(std::stod(std::string(*findHeader(refused->headers, "Retry-After"))) > 0);
}

// Guards against an idempotent call that fails with its first backend server.
TEST_CASE("an idempotent call is tried again, and the backend server's own failure is passed on")
{
    Scene scene;
    scene.plain1.setBehaviour(Behaviour::Fail);
    scene.startAndWait();
    for (auto index = 0; index < 4; ++index)
        CHECK(scene.call("GET", "/read/x")->status == 200);
    scene.plain2.setBehaviour(Behaviour::Fail);
    const auto failed = scene.call("GET", "/read/x");
    CHECK(failed->status == 500);
    CHECK(findHeader(failed->headers, "Server-Seal"));
}

// Guards against backend servers that get no calls because callers gave up theirs.
TEST_CASE("callers that leave say nothing about the backend servers")
{
    Scene scene;
    scene.plain1.setBehaviour(Behaviour::Stall);
    scene.plain2.setBehaviour(Behaviour::Stall);
    scene.startAndWait();
    for (auto index = 0; index < 8; ++index) {
        HttpRequest request { "GET", "/read/x", { { "Host", "a.example" }, { "Request-Id", "left-" + std::to_string(index) }, { "Deadline-Ms", "1500" } }, {} };
        const auto left = runOn(scene.threads, 0, scene.threads.client(0).request(scene.router->endpoint(), std::move(request), 40ms));
        REQUIRE(left.has_error());
    }
    scene.plain1.setBehaviour(Behaviour::Answer);
    scene.plain2.setBehaviour(Behaviour::Answer);
    CHECK(scene.call("GET", "/read/x")->status == 200);
}

// Guards against a stream whose events are changed, and a prefill that no decode uses.
TEST_CASE("a stream goes from prefill to decode and passes unchanged")
{
    Scene scene;
    scene.startAndWait();
    const auto answer = scene.streamCall("/once/x");
    REQUIRE(answer.has_value());
    CHECK(answer->status == 200);
    CHECK(answer->body == streamText(1, 5));
    CHECK(scene.prefill.prefills() == 1);
    const auto& used = scene.decode1.runs() ? scene.decode1 : scene.decode2;
    CHECK(findHeader(used.lastRequest().headers, "Cache-Source") == toString(scene.prefill.endpoint()) + "/h1");
    CHECK(findHeader(used.lastRequest().headers, "Cache-Hold") == "seat");
}

// Guards against an event that is lost or doubled when a stream goes on at another engine, and against
// a stream that may not be repeated and looks whole although it broke off.
TEST_CASE("a cut stream resumes where that is allowed and otherwise looks cut")
{
    Scene scene;
    scene.decode1.setBehaviour(Behaviour::TruncateStream);
    scene.decode2.setBehaviour(Behaviour::TruncateStream);
    scene.startAndWait();
    const auto cut = scene.streamCall("/once/x");
    CHECK(cut.has_error());
    CHECK(scene.decode1.runs() + scene.decode2.runs() == 1);
    const auto first = scene.decode1.runs() ? &scene.decode2 : &scene.decode1;
    first->setBehaviour(Behaviour::Answer);
    auto whole = 0;
    for (auto index = 0; index < 4; ++index) {
        const auto resumed = scene.streamCall("/resumed/x");
        REQUIRE(resumed.has_value());
        whole += resumed->body == streamText(1, 5);
    }
    CHECK(whole == 4);
    const auto continued = scene.streamCall("/resumed/x", { { "Last-Event-Id", "2" } });
    CHECK(continued->body == streamText(3, 5));
}

// Guards against requests beyond what the configuration allows.
TEST_CASE("requests without a route and oversized ones are answered at once")
{
    Scene scene;
    scene.startAndWait();
    CHECK(scene.call("GET", "/none/x")->status == 404);
    CHECK(scene.call("POST", "/post/x", std::string(10'001, 'x'))->status == 413);
    CHECK(scene.call("GET", "/read/x", {}, { { "Long", std::string(9'000, 'x') } })->status == 431);
}

// Guards against an instance that claims to be ready, or says 404, before it knows a configuration.
TEST_CASE("an instance without a store is not ready and refuses as not run")
{
    Scene scene;
    scene.platform.setDown(true);
    scene.start();
    CHECK_FALSE(scene.isReady());
    const auto refused = scene.call("GET", "/read/x");
    CHECK(refused->status == 503);
    CHECK(findHeader(refused->headers, "Retry-After"));
    scene.platform.setDown(false);
    CHECK(scene.waitUntil([&] { return scene.isReady(); }));
    CHECK(scene.call("GET", "/read/x")->status == 200);
}

// Guards against an outage of the store that stops the traffic, and against a version that goes back.
TEST_CASE("an instance serves on without its store and never goes back")
{
    Scene scene;
    scene.startAndWait();
    scene.platform.setDown(true);
    std::this_thread::sleep_for(300ms);
    CHECK(scene.call("GET", "/read/x")->status == 200);
    auto older = configurationOf(2);
    older["routes"] = json::array();
    scene.platform.put("config", "main", std::move(older));
    scene.platform.setDown(false);
    std::this_thread::sleep_for(1s);
    CHECK(scene.call("GET", "/read/x")->status == 200);
    auto newer = configurationOf(4);
    newer["routes"] = json::array();
    scene.platform.put("config", "main", std::move(newer));
    CHECK(scene.waitUntil([&] { return scene.call("GET", "/read/x")->status == 404; }));
}

// Guards against a change that a watch never hears of because the store has dropped its history.
TEST_CASE("a change is found after the store has dropped its history")
{
    Scene scene;
    scene.startAndWait();
    std::this_thread::sleep_for(50ms);
    auto newer = configurationOf(4);
    newer["routes"] = json::array();
    scene.platform.put("config", "main", std::move(newer));
    scene.platform.compact();
    const auto since = monotonicNow();
    CHECK(scene.waitUntil([&] { return scene.call("GET", "/read/x")->status == 404; }));
    CHECK(monotonicNow() - since < 1s);
}

// Guards against new work for a backend server that is leaving or gone.
TEST_CASE("a backend server that leaves gets no new work")
{
    Scene scene;
    scene.startAndWait();
    scene.enter(scene.plain1, "ledger", {}, "draining");
    std::this_thread::sleep_for(200ms);
    const auto before = scene.plain1.runs();
    for (auto index = 0; index < 6; ++index)
        CHECK(scene.call("GET", "/read/x")->status == 200);
    CHECK(scene.plain1.runs() == before);
    scene.platform.remove("servers", "plain-2");
    std::this_thread::sleep_for(200ms);
    CHECK(scene.call("GET", "/read/x")->status == 503);
}

// Guards against a shutdown that turns requests away while the balancer still sends them.
TEST_CASE("a shutdown serves on until the balancer has noticed")
{
    Scene scene;
    scene.startAndWait();
    std::atomic<bool> isDrained { false };
    scene.router->onDrained([&](bool isComplete) { isDrained = isComplete; });
    scene.router->startDraining();
    CHECK_FALSE(scene.isReady());
    const auto answer = scene.call("GET", "/read/x");
    REQUIRE(answer.has_value());
    CHECK(answer->status == 200);
    CHECK(findHeader(answer->headers, "Connection") == "close");
    CHECK(scene.waitUntil([&] { return isDrained.load(); }));
    CHECK(scene.call("GET", "/read/x").has_error());
}
