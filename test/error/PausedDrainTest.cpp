#include "../FakeBackendServer.h"
#include "../FakeObjectStore.h"
#include "../HttpTestServer.h"

#include "ChildProcess.h"

#include <boost/json/array.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

#include <unistd.h>

using namespace jayhold;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

auto routeOf(const std::string& name, const std::string& service, const std::string& kind) -> json::object
{
    return { { "name", name }, { "host", "a.example" }, { "pathPrefix", "/" + name + "/" }, { "service", service }, { "kind", kind }, { "timeoutMs", 3'000 }, { "targetLatencyMs", 500 }, { "targetGapMs", 200 }, { "maxAttempts", 1 }, { "priority", 1 }, { "canResume", false }, { "sticky", false } };
}

auto configuration() -> json::object
{
    const json::object engine { { "slots", 8 }, { "kvCapacity", 40'000 }, { "kvTokenBytes", 18'432 }, { "linkMbps", 1'000.0 }, { "stride", 11 }, { "kvHoldS", 0.5 }, { "holdMs", 2'000.0 } };
    return { { "version", 1 }, { "routes", json::array { routeOf("read", "ledger", "idempotent"), routeOf("post", "ledger", "non_idempotent"), routeOf("once", "llm", "streaming") } },
        { "services", json::array { json::object { { "name", "ledger" }, { "healthPath", "/health" } }, json::object { { "name", "llm" }, { "engine", engine } } } },
        { "limits", json::object { { "maxHeaderBytes", 8'192 }, { "maxBodyBytes", 10'000 }, { "headerTimeoutMs", 500 }, { "idleTimeoutMs", 5'000 } } } };
}

auto serverEntry(const FakeBackendServer& server, const std::string& service, const std::string& phase) -> json::object
{
    json::object entry { { "service", service }, { "address", toString(server.endpoint()) }, { "zone", "alpine" }, { "state", "ready" }, { "slots", 6 }, { "born", 1'700'000'000'000 } };
    if (!phase.empty())
        entry["phase"] = phase;
    return entry;
}

/// A router in a process of its own, which can be stopped and continued, with a grace period of 1 s.
struct RouterProcess {
    RouterProcess()
    {
        store.put("config", "main", configuration());
        store.put("servers", plain.id(), serverEntry(plain, "ledger", {}));
        store.put("servers", decode.id(), serverEntry(decode, "llm", "decode"));
        const auto address = "127.18." + std::to_string(getpid() / 250 % 250) + "." + std::to_string(getpid() % 250 + 1);
        std::ofstream(path) << "node=edge-1\nzone=alpine\nregion=big-bend\nip=" << address << "\nzones.alpine=big-bend\nlisten.front=" << address << ":0\nlisten.ready=" << address
                            << ":0\nportRange=7660,7675\nbounds.graceS=1\nbounds.applyMs=2000\nbounds.drainMs=2000\nbounds.budgetRatio=0.2\nbounds.budgetExtra=50\nplatform.address=" << toString(store.endpoint()) << "\nplatform.readsPerS=100\n";
        process.emplace(JAYHOLD_ENTRY, std::vector<std::string> { "--deployment", "platform", "--settings", path }, "");
        const auto listening = process->waitForListening(5s);
        REQUIRE(listening);
        endpoint = *parseHttpEndpoint(listening->at("address"));
        const auto end = monotonicNow() + 5s;
        while (call("GET", "/read/x") != 200 && monotonicNow() < end)
            std::this_thread::sleep_for(10ms);
    }
    ~RouterProcess()
    {
        process.reset();
        threads.stop();
        std::filesystem::remove(path);
    }
    RouterProcess(const RouterProcess&) = delete;
    auto operator=(const RouterProcess&) -> RouterProcess& = delete;

    /// @return the status of the whole answer, or 0 if there is none.
    auto call(const std::string& method, const std::string& target) -> unsigned
    {
        const auto number = ++requests;
        const auto thread = 1 + static_cast<std::size_t>(number % 2);
        HttpRequest request { method, target, { { "Host", "a.example" }, { "Request-Id", "request-" + std::to_string(number) } }, {} };
        if (target.starts_with("/once/")) {
            for (const auto& [name, value] : { std::pair { "Model", "m" }, std::pair { "Token-Counts", "100,200" } })
                request.headers.push_back({ name, value });
        }
        const auto response = runOn(threads, thread, threads.client(thread).request(endpoint, std::move(request), 5s));
        return response.has_value() ? response->status : 0;
    }

    IoThreads threads { 3 };
    FakeObjectStore store { threads };
    FakeBackendServer plain { threads, "plain-1" };
    FakeBackendServer decode { threads, "decode-1" };
    const std::string path = (std::filesystem::temp_directory_path() / ("jayhold-paused-drain-" + std::to_string(getpid()))).string();
    std::optional<ChildProcess> process;
    HttpEndpoint endpoint;
    std::atomic<int> requests { 0 };
};

}

// Guards against requests that end without an answer because the process got no processor until its drain was to end: it
// must give the answers that have arrived meanwhile to their callers before it exits.
TEST_CASE("a drain that stood still past its end answers the requests that were read")
{
    const auto target = GENERATE("/post/x", "/once/x");
    RouterProcess router;
    router.plain.setTiming(300ms, Duration::zero());
    router.decode.setTiming(300ms, 10ms);
    constexpr auto callerCount = 8;
    std::atomic<int> served { 0 };
    std::atomic<int> unanswered { 0 };
    {
        std::vector<std::jthread> callers;
        callers.reserve(callerCount);
        for (auto caller = 0; caller < callerCount; ++caller) {
            callers.emplace_back([&] {
                const auto status = router.call("POST", target);
                served += status == 200;
                unanswered += status == 0;
            });
        }
        const auto runs = [&] { return router.plain.requests() + router.decode.requests(); };
        const auto end = monotonicNow() + 200ms;
        while (runs() < callerCount && monotonicNow() < end)
            std::this_thread::sleep_for(5ms);
        router.process->signal(SIGTERM);
        std::this_thread::sleep_for(20ms);
        router.process->signal(SIGSTOP);
        // The drain ends 0.94 s after SIGTERM, and the answers arrive after 0.3 s.
        std::this_thread::sleep_for(980ms);
        router.process->signal(SIGCONT);
        CHECK(router.process->waitForExit(1s));
    }
    INFO(served << " of " << callerCount << " requests to " << target << " served");
    for (const auto& line : router.process->output())
        UNSCOPED_INFO(line);
    CHECK(unanswered == 0);
}
