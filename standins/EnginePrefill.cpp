#include "EngineHandlers.h"
#include "EngineRequest.h"
#include "FaultPause.h"
#include "JsonBody.h"
#include "PromptBlocks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jayhold::standin {

namespace {

auto expireLater(EnginePointer state, std::string handle, TimePoint when) -> boost::asio::awaitable<void>
{
    co_await pauseUntil(when);
    const auto found = state->results.find(handle);
    // A transfer in progress keeps the result; it drops the result itself when it ends.
    if (found != state->results.end() && found->second.transfers == 0)
        dropResult(*state, handle, false);
}

auto keepResult(const EnginePointer& state, HttpExchange& exchange, const std::shared_ptr<EngineRun>& run, std::int64_t promptTokens, std::int64_t computed) -> boost::json::object
{
    const auto keep = state->settings.keepMilliseconds;
    auto handle = state->settings.id + "-" + std::to_string(++state->lastHandle);
    const auto expiresAt = monotonicNow() + std::chrono::milliseconds(keep);
    const auto kvBytes = promptTokens * state->settings.kvBytesPerToken;
    state->memory.releaseSlot(*run);
    state->results[handle] = { run, computed, kvBytes, expiresAt, 0 };
    boost::asio::co_spawn(exchange.executor(), expireLater(state, handle, expiresAt), boost::asio::detached);
    return { { "handle", handle }, { "prompt_tokens", promptTokens }, { "cached_tokens", promptTokens - computed },
        { "kv_bytes", kvBytes }, { "kept_ms", keep } };
}

}

auto handlePrefill(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>
{
    co_await passFaults(*state);
    std::string fault;
    const auto request = readJsonBody<EngineRequest>(exchange.request().body, fault, readPrefillRequest);
    auto refusal = request ? turnAway(*state) : notRun(400, "bad_request", fault);
    if (refusal) {
        co_await exchange.respond(std::move(*refusal));
        co_return;
    }
    const auto promptTokens = countTokens(request->prompt);
    const auto run = state->memory.hold(request->requestId, request->owner, memoryBlocksFor(*state, promptTokens));
    if (!run) {
        ++state->counters.refused;
        co_await exchange.respond(notRun(409, "busy"));
        co_return;
    }
    ++state->counters.prefills;
    exchange.onClose([state, run] { cancelRun(*state, run); });
    const auto computed = co_await prefillPrompt(*state, *run, request->prompt, request->priority);
    co_await passFaults(*state);
    if (run->isCancelled) {
        co_await exchange.respond(jsonResponse(499, R"({"error":"cancelled","ran":true})"));
        co_return;
    }
    const auto body = keepResult(state, exchange, run, promptTokens, computed);
    co_await exchange.respond(jsonResponse(200, boost::json::serialize(body)));
}

}
