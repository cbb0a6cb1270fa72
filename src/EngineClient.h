#pragma once

/// The calls to a model engine, as coroutines on the I/O thread of the HTTP client. A prefill and
/// a decode end at once, and close their connection, when the coroutine that awaits them is
/// cancelled.

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
/// @param timeout time until the result has arrived.
auto prefillOnEngine(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> boost::asio::awaitable<EngineResult<PrefillResult>>;

/// Starts a decode.
/// @param timeout time until the engine has begun to answer.
/// @return the stream of token events.
auto decodeOnEngine(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> boost::asio::awaitable<EngineResult<std::shared_ptr<HttpStream>>>;

/// Cancels what an engine runs or holds for an attempt.
auto cancelOnEngine(HttpClient& client, HttpEndpoint endpoint, std::string requestId) -> boost::asio::awaitable<bool>;

auto fetchEngineLoad(HttpClient& client, HttpEndpoint endpoint, Duration timeout) -> boost::asio::awaitable<EngineResult<EngineLoad>>;

/// @param after sequence number of the last event that the caller has.
auto fetchCacheEvents(HttpClient& client, HttpEndpoint endpoint, std::uint64_t after, Duration timeout) -> boost::asio::awaitable<EngineResult<EngineCacheEvents>>;

}
