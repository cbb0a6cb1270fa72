#pragma once

/// Calls to a model engine, as coroutines on the I/O thread of the HTTP client. Cancelling the coroutine
/// that awaits a prefill or decode ends the call immediately and closes its connection.

#include "BackendServer.h"
#include "EngineCacheEvents.h"
#include "EngineCall.h"
#include "EngineError.h"
#include "EngineLoad.h"
#include "HttpClient.h"
#include "PrefillResult.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace jayhold {

/// Runs a prefill.
/// @param timeout limit for the result to arrive.
auto prefillOnEngine(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> boost::asio::awaitable<EngineResult<PrefillResult>>;

/// Starts a decode.
/// @param timeout limit for the engine to start its response.
/// @return the stream of token events.
auto decodeOnEngine(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> boost::asio::awaitable<EngineResult<std::shared_ptr<HttpStream>>>;

/// Cancels an attempt at an engine and releases the memory that the engine holds for it.
auto cancelOnEngine(HttpClient& client, HttpEndpoint endpoint, std::string requestId) -> boost::asio::awaitable<bool>;

auto fetchEngineLoad(HttpClient& client, HttpEndpoint endpoint, Duration timeout) -> boost::asio::awaitable<EngineResult<EngineLoad>>;

/// @param after sequence number of the last event that was received.
auto fetchCacheEvents(HttpClient& client, HttpEndpoint endpoint, std::uint64_t after, Duration timeout) -> boost::asio::awaitable<EngineResult<EngineCacheEvents>>;

}
