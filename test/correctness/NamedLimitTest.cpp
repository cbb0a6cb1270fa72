#include "../EntryHarness.h"
#include "../FakeRecords.h"
#include "../RouterFixture.h"

#include <algorithm>
#include <list>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// From this time after it first named its limit, a server is protected by it.
constexpr Duration settlingTime = 3s;
constexpr Duration window = 4s;
constexpr std::size_t instanceCount = 3;

/// @return the most calls that a server with the limit may get within the window.
auto allowedCalls(double perSecond) -> double
{
    return 1.5 * perSecond * 4 + 5;
}

/// Several instances before one server of each kind, and callers that send more than the servers take.
struct Fleet {
    Fleet()
    {
        store.put("config", "main", configurationOf(1));
        store.put("servers", plain.id(), serverEntry(plain.endpoint(), "ledger", {}));
        store.put("servers", prefill.id(), serverEntry(prefill.endpoint(), "llm", "prefill"));
        store.put("servers", decode.id(), serverEntry(decode.endpoint(), "llm", "decode"));
        for (std::size_t index = 0; index < instanceCount; ++index) {
            const auto settings = routerSettings("entry-" + std::to_string(index + 1), store.endpoint());
            routers.emplace_back(settings.entry, platform::makePlatformAdapter(settings));
        }
    }
    ~Fleet()
    {
        routers.clear();
        threads.stop();
    }
    Fleet(const Fleet&) = delete;
    auto operator=(const Fleet&) -> Fleet& = delete;

    /// Sends calls to all instances for a time, one at a time to each.
    auto load(const std::string& target, Duration time) -> void
    {
        std::vector<std::jthread> callers;
        auto thread = std::size_t { 0 };
        for (const auto& router : routers)
            callers.emplace_back([this, &target, time, endpoint = router.endpoint(), index = thread++ % 2] { runCaller(target, time, endpoint, index); });
    }

    auto runCaller(const std::string& target, Duration time, const HttpEndpoint& endpoint, std::size_t thread) -> void
    {
        const auto end = monotonicNow() + time;
        while (monotonicNow() < end) {
            HttpRequest request { "POST", target, { { "Host", "a.example" }, { "Request-Id", "request-" + std::to_string(++requests) }, { "Deadline-Ms", "300" }, { "Model", "m" }, { "Token-Counts", "100,200" } }, "prompt" };
            runOn(threads, thread, threads.client(thread).request(endpoint, std::move(request), 1s));
            std::this_thread::sleep_for(10ms);
        }
    }

    IoThreads threads { 2 };
    FakeObjectStore store { threads };
    FakeBackendServer plain { threads, "plain-1" };
    FakeBackendServer prefill { threads, "prefill-1" };
    FakeBackendServer decode { threads, "decode-1" };
    std::list<RouterDaemon> routers;
    std::atomic<int> requests { 0 };
};

/// The times at which a server started to run calls.
struct RunTimes {
    explicit RunTimes(FakeBackendServer& server)
    {
        server.onRun([this](const std::string&, const std::string&) {
            const std::lock_guard guard(lock);
            times.push_back(monotonicNow());
        });
    }

    /// @return the most runs within the window that begin at the time or later.
    auto mostInWindow(TimePoint from) -> std::size_t
    {
        const std::lock_guard guard(lock);
        std::size_t most = 0;
        for (auto first = std::ranges::lower_bound(times, from); first != times.end(); ++first)
            most = std::max<std::size_t>(most, static_cast<std::size_t>(std::ranges::lower_bound(times, *first + window) - first));
        return most;
    }

    std::mutex lock;
    std::vector<TimePoint> times;
};

}

// Guards against a plain server that gets more calls from all instances than the limit that it names.
TEST_CASE("a plain server gets the calls that it takes from all instances together")
{
    constexpr double limit = 5;
    Fleet fleet;
    RunTimes runs(fleet.plain);
    fleet.plain.setLimit(limit);
    const auto start = monotonicNow();
    fleet.load("/read/x", settlingTime + window + 1s);
    CHECK(static_cast<double>(runs.mostInWindow(start + settlingTime)) <= allowedCalls(limit));
    // The server is still used.
    CHECK(static_cast<double>(runs.mostInWindow(start + settlingTime)) >= limit);
    // When it names no limit any more, it gets all calls again.
    fleet.plain.setLimit(0);
    fleet.load("/read/x", 2s);
    const auto before = fleet.plain.runs();
    fleet.load("/read/x", 1s);
    CHECK(fleet.plain.runs() - before > 3 * limit);
}

// Guards against an engine that gets more decodes from all instances than the limit that it names. The first
// prefill of a request does not count, which keeps limited prefill engines in use.
TEST_CASE("engines get the calls that they take from all instances together")
{
    constexpr double limit = 2;
    Fleet fleet;
    RunTimes decodes(fleet.decode);
    fleet.prefill.setLimit(limit);
    fleet.decode.setLimit(limit);
    const auto start = monotonicNow();
    fleet.load("/once/x", settlingTime + window + 1s);
    CHECK(static_cast<double>(decodes.mostInWindow(start + settlingTime)) <= allowedCalls(limit));
    CHECK(static_cast<double>(decodes.mostInWindow(start + settlingTime)) >= limit);
}

// Guards against calls beyond the limit of a server, because a response that says nothing about its limit seemed to end it:
// one to a control call, one without the request's id, or one of another server at its address.
TEST_CASE("only a response of the server to a call ends its limit")
{
    FakeRecords records;
    EntryHarness harness { records };
    auto& services = harness.services();
    harness.addBackend("limited", "ledger", { "127.0.0.1", 1 });
    harness.addBackend("other", "ledger", { "127.0.0.1", 1 });
    const auto limited = services.plainService("coop-ledger")->backends().at(0).server;
    REQUIRE(limited.id == "limited");
    const auto limitOf = [&](std::string_view backend) {
        for (const auto& report : services.limitReports()) {
            if (report.backend == backend)
                return report.perSecond;
        }
        return std::optional<double>();
    };
    services.handleNotice(limited, monotonicNow(), { .status = 200, .callsPerSecond = 5 });
    REQUIRE(limitOf("limited") == 5);
    services.handleNotice(limited, monotonicNow(), { .status = 200, .origin = ResponseOrigin::ControlCall });
    services.handleNotice(limited, monotonicNow(), { .status = 200, .origin = ResponseOrigin::Unidentified });
    services.handleNotice(limited, monotonicNow(), { .status = 421, .responder = "other", .callsPerSecond = 7 });
    services.handleNotice(limited, monotonicNow(), { .status = 421, .responder = "unknown" });
    CHECK(limitOf("limited") == 5);
    CHECK(limitOf("other") == 7);
    services.handleNotice(limited, monotonicNow(), { .status = 421, .responder = "limited" });
    CHECK_FALSE(limitOf("limited"));
}
