#include "EngineHandlers.h"
#include "JsonBody.h"

namespace jayhold::standin {

namespace json = boost::json;
namespace asio = boost::asio;

auto handleEngineFaults(EnginePointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    std::string errorMessage;
    const auto read = [&](JsonReader& reader) { return readEngineFaults(reader, state->faults); };
    const auto faults = readJsonBody<EngineFaults>(exchange.request().body, errorMessage, read);
    if (faults)
        state->faults = *faults;
    // GCC 12 destroys the operands of a conditional inside a co_await expression twice.
    auto response = faults ? jsonResponse(200, "{}") : notRunResponse(400, "bad_request", errorMessage);
    co_await exchange.respond(std::move(response));
}

auto handleEngineCounts(EnginePointer state, HttpExchange& exchange) -> asio::awaitable<void>
{
    const auto& counters = state->counters;
    std::int64_t largest = 0;
    for (const auto& [requestId, runs] : counters.completeRuns)
        largest = std::max(largest, runs);
    const json::object body {
        { "held_pieces", state->memory.heldMemoryBlocks() },
        { "seats_in_use", state->memory.slotsInUse() },
        { "prefills", counters.prefills },
        { "decodes", counters.decodes },
        { "finished", counters.finished },
        { "cancelled", counters.cancelled },
        { "refused", counters.refused },
        { "orders", counters.orders },
        { "tokens_prefilled", counters.tokensPrefilled },
        { "tokens_never_decoded", counters.tokensNeverDecoded },
        { "largest_complete_runs", largest },
    };
    co_await exchange.respond(jsonResponse(200, json::serialize(body)));
}

}
