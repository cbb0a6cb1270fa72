#pragma once

/// How an entry instance speaks with backend servers. Each protocol fills in one of these; what is
/// null does not exist in it.

#include "BackendServer.h"
#include "EngineCacheEvents.h"
#include "EngineCall.h"
#include "EngineError.h"
#include "EngineLoad.h"
#include "EngineOrderState.h"
#include "EventReader.h"
#include "HttpClient.h"
#include "PlainCallInfo.h"
#include "PrefillResult.h"
#include "ResponseClass.h"
#include "RoleOrder.h"
#include "TokenSequence.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace jayhold {

struct BackendProtocol {
    /// Runs a prefill.
    /// @param timeout time until the result has arrived.
    auto(*prefill)(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> boost::asio::awaitable<EngineResult<PrefillResult>>;
    /// Starts a decode.
    /// @param timeout time until the engine has begun to answer.
    auto(*decode)(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> boost::asio::awaitable<EngineResult<std::shared_ptr<HttpStream>>>;
    /// Cancels an attempt by its name; null where closing its connection does.
    auto(*cancel)(HttpClient& client, HttpEndpoint endpoint, std::string requestId) -> boost::asio::awaitable<bool>;
    /// Frees a prefill result that no decode will fetch; null where cancel() does.
    auto(*releasePrefill)(HttpClient& client, BackendServer server, std::string handle, Duration timeout) -> boost::asio::awaitable<bool>;
    /// Asks a decode engine to keep a seat and memory for some time; null where engines do not.
    /// @return the name of what is kept.
    auto(*reserveSlot)(HttpClient& client, BackendServer server, std::uint32_t tokens, Duration time, Duration timeout) -> boost::asio::awaitable<EngineResult<std::string>>;
    auto(*releaseSlot)(HttpClient& client, BackendServer server, std::string slot, Duration timeout) -> boost::asio::awaitable<bool>;
    /// Reads how many orders an engine has accepted, and whether it carries one out; null where engines
    /// take no orders.
    auto(*orderState)(HttpClient& client, BackendServer server, Duration timeout) -> boost::asio::awaitable<EngineResult<EngineOrderState>>;
    /// Orders an engine to change its role.
    /// @return nothing where the engine accepted the order or has the role already.
    auto(*orderRole)(HttpClient& client, BackendServer server, RoleOrder order, Duration timeout) -> boost::asio::awaitable<std::optional<EngineError>>;
    /// Reads load and cache events; null where engines are not polled.
    auto(*load)(HttpClient& client, HttpEndpoint endpoint, Duration timeout) -> boost::asio::awaitable<EngineResult<EngineLoad>>;
    auto(*cacheEvents)(HttpClient& client, HttpEndpoint endpoint, std::uint64_t after, Duration timeout) -> boost::asio::awaitable<EngineResult<EngineCacheEvents>>;
    auto(*makeEventReader)() -> std::unique_ptr<EventReader>;
    IndexRule indexRule;
    /// Makes one plain call.
    /// @param timeout time until the whole answer has arrived.
    auto(*plainCall)(HttpClient& client, BackendServer server, const PlainCallInfo& call, Duration timeout) -> boost::asio::awaitable<HttpResult<HttpResponse>>;
    auto(*classifyResponse)(const PlainCallInfo& call, const HttpResponse& response) -> ResponseClass;
};

/// @return the protocol of jayhold's own engine interface and of plain services.
auto nativeBackendProtocol() -> const BackendProtocol&;

}
