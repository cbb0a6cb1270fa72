#pragma once

/// A router daemon with the platform's adapter on a fake platform.

#include "FakeBackendServer.h"
#include "FakeObjectStore.h"
#include "HttpTestServer.h"

#include "Platform.h"
#include "RouterDaemon.h"

#include <boost/json/array.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <thread>

namespace jayhold::test {

using namespace std::chrono_literals;
namespace json = boost::json;
using Behaviour = FakeBackendServer::Behaviour;

inline auto routeOf(std::string name, std::string prefix, std::string service, std::string kind, int attempts, bool canResume) -> json::object
{
    return { { "name", name }, { "host", "a.example" }, { "pathPrefix", prefix }, { "service", service }, { "kind", kind }, { "timeoutMs", 2'000 },
        { "targetLatencyMs", 500 }, { "targetGapMs", 300 }, { "maxAttempts", attempts }, { "priority", 1 }, { "canResume", canResume }, { "sticky", kind == "streaming" } };
}

inline auto configurationOf(int version) -> json::object
{
    json::object engine { { "slots", 8 }, { "kvCapacity", 40'000 }, { "kvTokenBytes", 18'432 }, { "linkMbps", 1'000.0 }, { "stride", 11 }, { "kvHoldS", 0.5 }, { "holdMs", 2'000.0 } };
    return { { "version", version },
        { "routes", json::array { routeOf("read", "/read/", "ledger", "idempotent", 2, false), routeOf("post", "/post/", "ledger", "non_idempotent", 1, false), routeOf("resumed", "/resumed/", "llm", "streaming", 2, true), routeOf("once", "/once/", "llm", "streaming", 1, false) } },
        { "services", json::array { json::object { { "name", "ledger" }, { "healthPath", "/health" } }, json::object { { "name", "llm" }, { "engine", std::move(engine) } } } },
        { "limits", json::object { { "maxHeaderBytes", 8'192 }, { "maxBodyBytes", 10'000 }, { "headerTimeoutMs", 500 }, { "idleTimeoutMs", 5'000 } } } };
}

/// @return the entry of a backend server in the store.
inline auto serverEntry(const HttpEndpoint& endpoint, const std::string& service, const std::string& phase, const std::string& state = "ready") -> json::object
{
    json::object entry { { "service", service }, { "address", toString(endpoint) }, { "zone", "alpine" }, { "state", state }, { "slots", 6 }, { "born", 1'700'000'000'000 } };
    if (!phase.empty())
        entry["phase"] = phase;
    return entry;
}

/// @return the events of a complete stream with these ids.
inline auto streamText(int first, int last) -> std::string
{
    std::string text;
    for (auto event = first; event <= last; ++event)
        text += "id: " + std::to_string(event) + "\ndata: token " + std::to_string(event) + "\n\n";
    return text;
}

/// @return the settings of an instance that shares its retry budget with others.
inline auto routerSettings(const std::string& instance, const HttpEndpoint& store) -> platform::Settings
{
    platform::Settings settings;
    settings.entry.instance = instance;
    settings.entry.availabilityZone = "alpine";
    settings.entry.listen = { "127.0.0.1", 0 };
    settings.entry.readinessListen = HttpEndpoint { "127.0.0.1", 0 };
    settings.entry.loadListen = HttpEndpoint { "127.0.0.1", 0 };
    settings.entry.logLevel = LogLevel::Error;
    settings.availabilityZones = { { "alpine", "big-bend" } };
    settings.store = store;
    settings.storeCallsPerSecond = 1'000;
    settings.retry = { .ratio = 0.2, .burst = 50, .isShared = true, .countsRejections = true };
    return settings;
}

/// A router on a fake platform with two plain replicas, one prefill engine and two decode engines.
struct RouterFixture {
    RouterFixture()
    {
        platform.put("config", "main", configurationOf(3));
        registerServer(plain1, "ledger", {});
        registerServer(plain2, "ledger", {});
        registerServer(prefill, "llm", "prefill");
        registerServer(decode1, "llm", "decode");
        registerServer(decode2, "llm", "decode");
        platform.put("servers", "forged", json::object { { "service", 7 }, { "address", "nowhere" } });
        platform.put("servers", "strange", json::object { { "service", "ledger" }, { "address", "127.0.0.1:1" }, { "zone", "alpine" }, { "state", "asleep" } });
    }
    ~RouterFixture() { stop(); }
    RouterFixture(const RouterFixture&) = delete;
    auto operator=(const RouterFixture&) -> RouterFixture& = delete;

    /// Stops the router and the I/O threads. A derived fixture whose members run on these threads, or are used by what
    /// runs there, calls it in its destructor: its members are destroyed before the base class would stop the threads.
    auto stop() -> void
    {
        router.reset();
        threads.stop();
    }

    auto registerServer(const FakeBackendServer& server, const std::string& service, const std::string& phase, const std::string& state = "ready") -> void
    {
        platform.put("servers", server.id(), serverEntry(server.endpoint(), service, phase, state));
    }

    auto start() -> void
    {
        auto settings = routerSettings("entry-1", platform.endpoint());
        settings.entry.drainTimeout = drainTimeout;
        settings.entry.deregistrationDelay = deregistrationDelay;
        settings.entry.maxPropagationDelay = 600ms;
        // A budget of this instance alone starts full, so that the first call of a test may be retried.
        settings.retry.isShared = sharesRetries;
        router.emplace(settings.entry, platform::makePlatformAdapter(settings));
    }

    auto isReady() -> bool
    {
        const auto response = runOn(threads, 0, threads.client(0).request(router->readinessEndpoint(), HttpRequest { .target = "/-/ready" }, 1s));
        return response.has_value() && response->status == 200;
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
    std::atomic<int> requests = 0;
    bool sharesRetries = false;
    std::chrono::milliseconds drainTimeout = 3s;
    std::chrono::milliseconds deregistrationDelay = 200ms;
};

}
