#include "CoroutineSleep.h"
#include "EngineHandlers.h"
#include "EngineRequest.h"
#include "JsonBody.h"
#include "PromptBlocks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jayhold::standin {

namespace {

auto expireResultAt(EnginePointer state, std::string handle, TimePoint when) -> boost::asio::awaitable<void>
{
    co_await sleepUntil(when);
    const auto found = state->results.find(handle);
    // A transfer in progress keeps the result and releases it when the transfer ends.
    if (found != state->results.end() && found->second.transfers == 0)
        releaseResult(*state, handle, false);
}

auto storeResult(const EnginePointer& state, HttpExchange& exchange, const std::shared_ptr<EngineRun>& run, std::int64_t promptTokens, std::int64_t computed) -> boost::json::object
{
    const auto ttlMilliseconds = state->settings.resultTtlMilliseconds;
    auto handle = state->settings.id + "-" + std::to_string(++state->lastHandle);
    const auto expiresAt = monotonicNow() + std::chrono::milliseconds(ttlMilliseconds);
    const auto kvBytes = promptTokens * state->settings.kvBytesPerToken;
    state->memory.releaseSlot(*run);
    state->results[handle] = { run, computed, kvBytes, expiresAt, 0 };
    boost::asio::co_spawn(exchange.executor(), expireResultAt(state, handle, expiresAt), boost::asio::detached);
    return { { "handle", handle }, { "prompt_tokens", promptTokens }, { "cached_tokens", promptTokens - computed },
        { "kv_bytes", kvBytes }, { "kept_ms", ttlMilliseconds } };
}

}

auto handlePrefill(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>
{
    co_await applyFaults(*state);
    std::string errorMessage;
    const auto request = readJsonBody<EngineRequest>(exchange.request().body, errorMessage, readPrefillRequest);
    auto refusal = request ? rejectionResponse(*state) : notRunResponse(400, "bad_request", errorMessage);
    if (refusal) {
        co_await exchange.respond(std::move(*refusal));
        co_return;
    }
    const auto promptTokens = countTokens(request->prompt);
    const auto run = state->memory.reserve(request->requestId, request->owner, memoryBlocksFor(*state, promptTokens));
    if (!run) {
        ++state->counters.refused;
        co_await exchange.respond(notRunResponse(409, "busy"));
        co_return;
    }
    ++state->counters.prefills;
    exchange.onClose([state, run] { cancelRun(*state, run); });
    const auto computed = co_await prefillPrompt(*state, *run, request->prompt, request->priority);
    co_await applyFaults(*state);
    if (run->isCancelled) {
        co_await exchange.respond(jsonResponse(499, R"({"error":"cancelled","ran":true})"));
        co_return;
    }
    const auto body = storeResult(state, exchange, run, promptTokens, computed);
    co_await exchange.respond(jsonResponse(200, boost::json::serialize(body)));
}

}
