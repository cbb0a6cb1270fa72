#include "EngineHandlers.h"
#include "JsonBody.h"
#include "Target.h"

#include <boost/json/array.hpp>

namespace jayhold::standin {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

auto heldEntries(const EngineState& state) -> json::array
{
    json::array held;
    const auto now = monotonicNow();
    for (const auto& run : state.memory.runs()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - run->startedAt);
        held.push_back(json::object { { "request_id", run->requestId }, { "owner", run->owner }, { "pieces", run->memoryBlocks }, { "age_ms", age.count() } });
    }
    return held;
}

auto laggedReport(EngineState& state) -> json::object
{
    const auto lag = std::chrono::milliseconds(state.settings.loadLagMilliseconds);
    const auto madeBefore = monotonicNow() - lag;
    auto report = state.loadReports.empty() ? makeLoadReport(state) : state.loadReports.front().second;
    for (const auto& [madeAt, candidate] : state.loadReports) {
        if (madeAt <= madeBefore)
            report = candidate;
    }
    return report;
}

}

auto makeLoadReport(EngineState& state) -> json::object
{
    const auto waiting = static_cast<std::int64_t>(state.compute.waiting());
    const auto& settings = state.settings;
    return { { "id", settings.id }, { "sequence", ++state.loadSequence }, { "role", settings.role }, { "seats", settings.slots },
        { "running", state.memory.slotsInUse() - waiting }, { "waiting", waiting }, { "memory_pieces", settings.memoryBlocks },
        { "free_pieces", settings.memoryBlocks - state.memory.heldMemoryBlocks() }, { "held", heldEntries(state) } };
}

auto handleLoad(EnginePointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    co_await applyFaults(*state);
    const auto report = state->settings.loadLagMilliseconds > 0 ? laggedReport(*state) : makeLoadReport(*state);
    co_await exchange.respond(jsonResponse(200, json::serialize(report)));
}

auto handleCacheEvents(EnginePointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    co_await applyFaults(*state);
    const auto after = queryNumber(exchange.request().target, "after", 0);
    const auto lag = std::chrono::milliseconds(state->settings.cacheEventLagMilliseconds);
    const auto changes = state->cache.changesAfter(static_cast<std::uint64_t>(after), monotonicNow() - lag);
    json::array events;
    for (const auto& change : changes) {
        json::array stored(change.stored.begin(), change.stored.end());
        json::array evicted(change.evicted.begin(), change.evicted.end());
        events.push_back(json::object { { "sequence", change.sequence }, { "stored", std::move(stored) }, { "evicted", std::move(evicted) } });
    }
    const auto last = changes.empty() ? static_cast<std::uint64_t>(after) : changes.back().sequence;
    const json::object body { { "events", std::move(events) }, { "last", last } };
    co_await exchange.respond(jsonResponse(200, json::serialize(body)));
}

auto handleCancel(EnginePointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    co_await applyFaults(*state);
    std::string errorMessage;
    const auto requestId = readJsonBody<std::string>(exchange.request().body, errorMessage, [](JsonReader& reader) { return reader.string("request_id"); });
    if (!requestId) {
        co_await exchange.respond(notRunResponse(400, "bad_request", errorMessage));
        co_return;
    }
    std::int64_t freed = 0;
    for (const auto& run : state->memory.runsOf(*requestId))
        freed += cancelRun(*state, run);
    const json::object body { { "freed_pieces", freed } };
    co_await exchange.respond(jsonResponse(200, json::serialize(body)));
}

auto handleOrder(EnginePointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    co_await applyFaults(*state);
    std::string errorMessage;
    // Further keys depend on the order and are not checked.
    const auto number = readJsonBody<std::int64_t>(exchange.request().body, errorMessage, [](JsonReader& reader) -> boost::leaf::result<std::int64_t> {
        BOOST_LEAF_CHECK(reader.string("order"));
        return reader.integer("fencing_number", { 0, 1e15 });
    });
    auto response = number ? jsonResponse(200, R"({"done":true})") : notRunResponse(400, "bad_request", errorMessage);
    if (number && state->settings.checksFencing && *number < state->highestFencingNumber)
        response = notRunResponse(412, "stale_fencing_number");
    if (response.status == 200) {
        ++state->counters.orders;
        state->highestFencingNumber = std::max(state->highestFencingNumber, *number);
    }
    co_await exchange.respond(std::move(response));
}

}
