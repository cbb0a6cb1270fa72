#include "../EntryHarness.h"
#include "../FakeRecords.h"
#include "../LogSearch.h"

#include "ModelRequest.h"

#include <boost/asio/this_coro.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

std::atomic<int> nextFailure { 0 };

auto failingPrefill(HttpClient&, BackendServer, EngineCall, Duration) -> boost::asio::awaitable<EngineResult<PrefillResult>>
{
    co_return EngineError { static_cast<FailureKind>(nextFailure.load()), "as the test wants" };
}

auto throwingPrefill(HttpClient&, BackendServer, EngineCall, Duration) -> boost::asio::awaitable<EngineResult<PrefillResult>>
{
    throw std::runtime_error("a fault of the prefill");
    co_return EngineError {};
}

auto immediatePrefill(HttpClient&, BackendServer, EngineCall, Duration) -> boost::asio::awaitable<EngineResult<PrefillResult>>
{
    co_return PrefillResult { .handle = "kv", .promptTokens = 5, .ttl = 1s };
}

auto throwingDecode(HttpClient&, BackendServer, EngineCall, Duration) -> boost::asio::awaitable<EngineResult<std::shared_ptr<HttpStream>>>
{
    throw std::runtime_error("a fault of the decode");
    co_return EngineError {};
}

/// An entry instance that can deliver a refusal to each request before the request runs.
struct Instance {
    explicit Instance(const BackendProtocol& backends = nativeBackendProtocol())
        : context { .settings = settings, .threads = threads, .log = log, .backendProtocol = backends }
    {
        context.runId = "run";
        context.configurationVersion = 7;
        services.updateConfiguration(entryConfiguration());
    }
    ~Instance()
    {
        services.stop();
        threads.stop();
    }
    Instance(const Instance&) = delete;
    auto operator=(const Instance&) -> Instance& = delete;

    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        ModelRequestInfo info;
        info.request.maxTokens = 10;
        info.digest.tokens = 5;
        info.kindSettings = entryConfiguration()->services[0].kinds[0];
        info.arrivedAt = monotonicNow();
        info.deadline = info.arrivedAt + 2s;
        const auto request = std::make_shared<ModelRequest>(context, services.modelService("appraiser-llm"), exchange, std::move(info));
        if (refusal)
            request->deliver(*refusal);
        co_await request->run();
    }

    auto call() -> HttpResult<HttpResponse>
    {
        return runOn(threads, 0, threads.client(0).request(server.endpoint(), { "POST", "/", {}, {} }, 4s));
    }

    /// @return the fields of the last event of that name; empty if there is none.
    auto lastEvent(std::string_view name) const -> std::vector<LogField>
    {
        std::vector<LogField> fields;
        for (const auto& event : log.after(0, EventLog::defaultCapacity)) {
            if (event.event == name)
                fields = event.fields;
        }
        return fields;
    }

    FakeRecords records;
    EntrySettings settings { .instance = "entry-1", .availabilityZone = "alpine" };
    EventLog log { "entry-1" };
    IoThreads threads { 2 };
    EntryContext context;
    ServiceTable services { context, records, [](std::string_view, std::string_view) { return false; } };
    std::optional<Refuse> refusal;
    HttpServer server { threads, {}, [this](HttpExchange& exchange) { return handle(exchange); } };
};

}

// Guards against a refusal that cannot be explained from the log: a new reason without a name, or an event
// without the inputs of the decision.
TEST_CASE("every refusal reason is logged with the inputs of the decision")
{
    std::set<std::string> names;
    for (int value = 0; name(static_cast<RefusalReason>(value)) != "refused"; ++value) {
        const auto reason = static_cast<RefusalReason>(value);
        const auto outcome = value % 2 == 0 ? ExecutionOutcome::NotRun : ExecutionOutcome::Unknown;
        Instance instance;
        instance.refusal = Refuse { RequestId { 1 }, reason, outcome, 1'500ms };
        REQUIRE(instance.call().has_value());
        const auto line = instance.lastEvent("request_refused");
        INFO(name(reason));
        CHECK(fieldValue(line, "reason") == name(reason));
        CHECK(fieldValue(line, "ran") == (outcome == ExecutionOutcome::NotRun ? "no" : "unknown"));
        CHECK(fieldValue(line, "retry_after_ms") == "1500");
        CHECK(fieldValue(line, "config") == "7");
        CHECK(fieldValue(line, "list_age_ms") == "0");
        for (const auto* key : { "request", "service", "kind", "attempt", "backend", "left_ms", "seat_refusals", "queued", "wait_ms", "needed_ms", "failures", "attempts_not_run", "retries_taken", "retries_left" })
            CHECK(fieldValue(line, key));
        CHECK_THAT(instance.context.metrics.print(0), Catch::Contains("jayhold_refusals_total{reason=\"" + std::string(name(reason)) + "\"} 1"));
        names.emplace(name(reason));
    }
    CHECK(names.size() >= 8);
}

// Load: requests of several ranks beyond saturation. Guards against displaced requests that an operator can't tell from others,
// and against a number of series that grows with the configuration.
TEST_CASE("displaced requests are logged and counted by kind and rank")
{
    Instance instance;
    instance.refusal = Refuse { RequestId { 1 }, RefusalReason::QueueFull, ExecutionOutcome::NotRun, 1'500ms, { .rank = { 1, 2 }, .displacedBy = RequestRank { 1, 0 } } };
    REQUIRE(instance.call().has_value());
    const auto line = instance.lastEvent("request_displaced");
    CHECK(fieldValue(line, "rank") == "1/2");
    CHECK(fieldValue(line, "by_rank") == "1/0");
    auto& metrics = instance.context.metrics;
    CHECK_THAT(metrics.print(0), Catch::Contains("jayhold_requests_displaced_total{service=\"appraiser-llm\",kind=\"lookup\",rank=\"1/2\"} 1"));
    for (std::size_t kind = 0; kind < Metrics::maxDisplacedSeries + 10; ++kind)
        metrics.countDisplaced("appraiser-llm", std::to_string(kind), "1/2");
    CHECK_THAT(metrics.print(0), Catch::Contains("rank=\"other\"} 11"));
}

// Guards against an attempt that fails without a log event.
TEST_CASE("every failure of an attempt is logged with its kind and backend server")
{
    auto backends = nativeBackendProtocol();
    backends.prefill = failingPrefill;
    int kinds = 0;
    for (int value = 0; name(static_cast<FailureKind>(value)) != "invalid"; ++value, ++kinds) {
        nextFailure = value;
        Instance instance(backends);
        instance.services.updateBackends({ { "prefill-1", { "127.0.0.1", 1 }, "alpine", "prefill" }, { "decode-1", { "127.0.0.1", 1 }, "alpine", "decode" } });
        REQUIRE(instance.call().has_value());
        const auto line = instance.lastEvent("prefill_failed");
        INFO(name(static_cast<FailureKind>(value)));
        CHECK(fieldValue(line, "failure") == name(static_cast<FailureKind>(value)));
        CHECK(fieldValue(line, "detail") == "as the test wants");
        CHECK(fieldValue(line, "backend") == "prefill-1");
        CHECK(fieldValue(instance.lastEvent("request_placed"), "config") == "7");
        CHECK(fieldValue(instance.lastEvent("request_refused"), "reason"));
    }
    CHECK(kinds >= 7);
}

// Guards against log events that show lists as current although the store has been unavailable for long.
TEST_CASE("the age of the lists is the time since which the store is unavailable")
{
    Instance instance;
    instance.context.storeUnavailableSince = (monotonicNow() - 3s).time_since_epoch().count();
    instance.refusal = Refuse { RequestId { 1 }, RefusalReason::NoBackend, ExecutionOutcome::NotRun, 1s };
    REQUIRE(instance.call().has_value());
    const auto age = std::stoi(fieldValue(instance.lastEvent("request_refused"), "list_age_ms").value());
    CHECK((age >= 3'000 && age < 5'000));
}

// Guards against an attempt that ends with an exception although nobody reports it, so that no other attempt follows,
// and against such a request that is refused as not run although its decode was sent.
TEST_CASE("an exception in an attempt is a failure of the attempt whose outcome is unknown")
{
    const auto isPrefill = GENERATE(true, false);
    auto backends = nativeBackendProtocol();
    backends.prefill = isPrefill ? throwingPrefill : immediatePrefill;
    backends.decode = throwingDecode;
    Instance instance(backends);
    instance.services.updateBackends({ { "prefill-1", { "127.0.0.1", 1 }, "alpine", "prefill" }, { "decode-1", { "127.0.0.1", 1 }, "alpine", "decode" } });
    const auto response = instance.call();
    REQUIRE(response.has_value());
    const auto line = instance.lastEvent(isPrefill ? "prefill_failed" : "decode_failed");
    CHECK(fieldValue(line, "detail") == (isPrefill ? "a fault of the prefill" : "a fault of the decode"));
    CHECK(fieldValue(instance.lastEvent("task_failed"), "task") == (isPrefill ? "prefill" : "decode"));
    CHECK_THAT(response->body, Catch::Contains(isPrefill ? R"("ran":"no")" : R"("ran":"unknown")"));
}
