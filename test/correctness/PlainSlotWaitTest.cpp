#include "../EntryHarness.h"
#include "../FakeRecords.h"

#include "Pause.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

auto lookUp(EntryHarness& harness) -> unsigned
{
    return harness.call({ "GET", "/services/coop-ledger/items?q=1", {}, {} })->status;
}

auto respondLate(HttpExchange& exchange) -> boost::asio::awaitable<void>
{
    co_await pause(100ms);
    co_await exchange.respond(jsonResponse(201, "{}"));
}

/// Answers calls, and rejects as many as it is told to without running them.
class RejectingServer {
public:
    explicit RejectingServer(IoThreads& threads)
        : m_server(threads, {}, [this](HttpExchange& exchange) { return handle(exchange); })
    {
    }

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }
    auto calls() const -> int { return m_calls; }
    auto reject(int calls) -> void { m_rejections = calls; }

private:
    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        ++m_calls;
        if (m_rejections > 0) {
            --m_rejections;
            co_await exchange.respond(jsonResponse(503, "{}"));
            co_return;
        }
        co_await pause(20ms);
        co_await exchange.respond(jsonResponse(201, "{}"));
    }

    std::atomic<int> m_calls { 0 };
    std::atomic<int> m_rejections { 0 };
    HttpServer m_server;
};

/// @return a protocol in which a status of 503 rejects a call for lack of capacity.
auto rejectingProtocol() -> const BackendProtocol&
{
    static const auto protocol = [] {
        auto native = nativeBackendProtocol();
        native.classifyResponse = [](const PlainCallInfo&, const HttpResponse& response) { return response.status == 503 ? ResponseClass::Busy : ResponseClass::Final; };
        return native;
    }();
    return protocol;
}

struct RejectingFixture {
    ~RejectingFixture() { threads.stop(); }

    /// Gives the instance an estimate of the duration of calls.
    auto observeDurations() -> void
    {
        for (int call = 0; call < 8; ++call)
            CHECK(lookUp(harness) == 201);
    }

    FakeRecords records;
    IoThreads threads { 1 };
    RejectingServer server { threads };
    EntryHarness harness { records, rejectingProtocol() };
};

}

// Load: twelve plain calls at once at a server with eight slots. Guards against calls that are refused although a slot is free
// long before their target.
TEST_CASE("plain calls wait for a slot that is expected in time")
{
    FakeRecords records;
    IoThreads threads { 1 };
    HttpServer server(threads, {}, respondLate);
    {
        EntryHarness harness { records };
        harness.addBackend("ledger-1", "ledger", server.endpoint());
        // Without durations of earlier calls, no slot is expected.
        for (int call = 0; call < 8; ++call)
            CHECK(lookUp(harness) == 201);
        constexpr std::size_t callCount = 12;
        std::vector<std::future<unsigned>> calls;
        calls.reserve(callCount);
        for (std::size_t call = 0; call < callCount; ++call)
            calls.push_back(std::async(std::launch::async, [&] { return lookUp(harness); }));
        const auto served = std::ranges::count_if(calls, [](auto& call) { return call.get() == 201; });
        // A busy machine may let some pass their target.
        CHECK(served > 8);
    }
    threads.stop();
}

// Load: the servers are full of calls of other instances, first for a moment and then for long. Guards against a call that is
// refused although a slot is expected long before its target, against a wait without an estimate, and against a call that is
// sent again and again.
TEST_CASE("a plain call that every server has rejected waits for a slot")
{
    RejectingFixture fixture;
    fixture.harness.addBackend("ledger-1", "ledger", fixture.server.endpoint());
    fixture.server.reject(1);
    CHECK(lookUp(fixture.harness) == 503);
    fixture.observeDurations();
    const auto before = fixture.server.calls();
    fixture.server.reject(1);
    CHECK(lookUp(fixture.harness) == 201);
    CHECK(fixture.server.calls() == before + 2);
    const auto& metrics = *fixture.harness.context().metrics.service("coop-ledger");
    CHECK(metrics.slotWaits == 1);
    CHECK(metrics.slotWaitsServed == 1);
    fixture.server.reject(1'000);
    CHECK(lookUp(fixture.harness) == 503);
    CHECK(fixture.server.calls() <= before + 4);
}

// Load: each call of many is rejected at first. Guards against waits that send calls again without a retry from the budget.
TEST_CASE("plain calls that were rejected are sent again within the retry budget")
{
    RejectingFixture fixture;
    fixture.harness.addBackend("ledger-1", "ledger", fixture.server.endpoint());
    fixture.observeDurations();
    const auto before = fixture.server.calls();
    constexpr int callCount = 30;
    for (int call = 0; call < callCount; ++call) {
        fixture.server.reject(1);
        lookUp(fixture.harness);
    }
    const auto sentAgain = fixture.server.calls() - before - callCount;
    CHECK(sentAgain > 0);
    CHECK(sentAgain <= plainRetryLimits.capacity + plainRetryLimits.ratio * callCount);
}
