#pragma once

/// Request handlers of a stand-in engine. Each call runs as one coroutine.

#include "EngineState.h"
#include "HttpExchange.h"

#include <optional>

namespace jayhold::standin {

using EnginePointer = std::shared_ptr<EngineState>;

auto handlePrefill(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>;
auto handleDecode(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>;
auto handleKv(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>;
auto handleCancel(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>;
auto handleLoad(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>;
auto handleCacheEvents(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>;
auto handleOrder(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>;
auto handleEngineFaults(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>;
auto handleEngineCounts(EnginePointer state, HttpExchange& exchange) -> boost::asio::awaitable<void>;

/// Applies the faults that delay or freeze every call.
auto applyFaults(EngineState& state) -> boost::asio::awaitable<void>;

/// @return the response that rejects new work if a fault requires it, or nothing.
auto rejectionResponse(EngineState& state) -> std::optional<HttpResponse>;

/// Prefills a prompt and counts its tokens.
/// @return tokens computed, without those from the prefix cache.
auto prefillPrompt(EngineState& state, EngineRun& run, std::string_view prompt, std::int64_t priority) -> boost::asio::awaitable<std::int64_t>;

/// Cancels a run and removes its result, if any.
/// @return memory blocks freed.
auto cancelRun(EngineState& state, const std::shared_ptr<EngineRun>& run) -> std::int64_t;

/// Removes a result and frees its memory.
/// @param isTransferred whether a decode engine has received its KV cache.
auto releaseResult(EngineState& state, const std::string& handle, bool isTransferred) -> void;

/// @return a report of the current load.
auto makeLoadReport(EngineState& state) -> boost::json::object;

/// @return memory blocks needed for the KV cache of the given number of tokens.
inline auto memoryBlocksFor(const EngineState& state, std::int64_t tokens) -> std::int64_t
{
    const auto memoryBlockTokens = state.settings.memoryBlockTokens;
    return std::max<std::int64_t>(1, (tokens + memoryBlockTokens - 1) / memoryBlockTokens);
}

/// Header of a KV transfer: its full size in bytes, even if fewer bytes are sent.
inline constexpr std::string_view kvBytesHeader = "X-Kv-Bytes";
/// Header of a KV transfer: tokens that its prefill computed, without those from the prefix cache.
inline constexpr std::string_view kvComputedHeader = "X-Kv-Computed-Tokens";

}
