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
