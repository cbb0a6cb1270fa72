#pragma once

/// The routes of a stand-in engine; one coroutine for each call.

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

/// Applies the faults that hold back or delay every call.
auto applyFaults(EngineState& state) -> boost::asio::awaitable<void>;

/// @return the answer with which the faults turn new work away, or nothing.
auto rejectionResponse(EngineState& state) -> std::optional<HttpResponse>;

/// Prefills a prompt and counts its tokens.
/// @return tokens computed, without those from the prefix cache.
auto prefillPrompt(EngineState& state, EngineRun& run, std::string_view prompt, std::int64_t priority) -> boost::asio::awaitable<std::int64_t>;

/// Cancels a run and drops its result, if any.
/// @return pieces freed.
auto cancelRun(EngineState& state, const std::shared_ptr<EngineRun>& run) -> std::int64_t;

/// Removes a result and frees its memory.
/// @param isTransferred whether a decode engine has its KV cache.
auto releaseResult(EngineState& state, const std::string& handle, bool isTransferred) -> void;

/// @return a load report of this moment.
auto makeLoadReport(EngineState& state) -> boost::json::object;

/// @return pieces that hold the KV cache of so many tokens.
inline auto memoryBlocksFor(const EngineState& state, std::int64_t tokens) -> std::int64_t
{
    const auto memoryBlockTokens = state.settings.memoryBlockTokens;
    return std::max<std::int64_t>(1, (tokens + memoryBlockTokens - 1) / memoryBlockTokens);
}

/// Header of a KV transfer: bytes of its full size.
inline constexpr std::string_view kvBytesHeader = "X-Kv-Bytes";
/// Header of a KV transfer: tokens whose prefill it carries.
inline constexpr std::string_view kvComputedHeader = "X-Kv-Computed-Tokens";

}
