#pragma once

/// The protocol between an entry instance and backend servers, as a table of functions. Operations that
/// a protocol does not have are null. Each response of a server, whatever its status, is reported to a NoticeHandler:
/// that of the call, or onNotice of control calls.

#include "BackendNotice.h"
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
    /// @param timeout limit for the result to arrive.
    auto(*prefill)(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> boost::asio::awaitable<EngineResult<PrefillResult>>;
    /// Starts a decode.
    /// @param timeout limit for the engine to start its response.
    auto(*decode)(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> boost::asio::awaitable<EngineResult<std::shared_ptr<HttpStream>>>;
    /// Cancels an attempt by its request id; null if closing the connection cancels it.
    auto(*cancel)(HttpClient& client, HttpEndpoint endpoint, std::string requestId) -> boost::asio::awaitable<bool>;
    /// Releases a prefill result that no decode will fetch; null if cancel() releases it.
    auto(*releasePrefill)(HttpClient& client, BackendServer server, std::string handle, Duration timeout, NoticeHandler onNotice) -> boost::asio::awaitable<bool>;
    /// Reserves a slot and memory at a decode engine for a limited time; null if engines take no
    /// reservations.
    /// @return the name of the reservation.
    auto(*reserveSlot)(HttpClient& client, BackendServer server, std::uint32_t tokens, Duration time, Duration timeout, NoticeHandler onNotice) -> boost::asio::awaitable<EngineResult<std::string>>;
    auto(*releaseSlot)(HttpClient& client, BackendServer server, std::string slot, Duration timeout, NoticeHandler onNotice) -> boost::asio::awaitable<bool>;
    /// Reads how many orders an engine has accepted and whether one is in progress; null if engines take
    /// no orders.
    auto(*orderState)(HttpClient& client, BackendServer server, Duration timeout, NoticeHandler onNotice) -> boost::asio::awaitable<EngineResult<EngineOrderState>>;
    /// Orders an engine to change its role.
    /// @return std::nullopt if the engine accepted the order or already has the role.
    auto(*orderRole)(HttpClient& client, BackendServer server, RoleOrder order, Duration timeout, NoticeHandler onNotice) -> boost::asio::awaitable<std::optional<EngineError>>;
    /// These two poll the load and the prefix cache events of an engine; null if engines are not polled.
    auto(*load)(HttpClient& client, HttpEndpoint endpoint, Duration timeout) -> boost::asio::awaitable<EngineResult<EngineLoad>>;
    auto(*cacheEvents)(HttpClient& client, HttpEndpoint endpoint, std::uint64_t after, Duration timeout) -> boost::asio::awaitable<EngineResult<EngineCacheEvents>>;
    auto(*makeEventReader)() -> std::unique_ptr<EventReader>;
    IndexRule indexRule;
    /// Sends one plain call.
    /// @param timeout limit for the complete response to arrive.
    auto(*plainCall)(HttpClient& client, BackendServer server, const PlainCallInfo& call, Duration timeout) -> boost::asio::awaitable<HttpResult<HttpResponse>>;
    auto(*classifyResponse)(const PlainCallInfo& call, const HttpResponse& response) -> ResponseClass;
    /// @return what the header of a response says about the server. The origin is that of a response to a prefill, decode
    /// or plain call.
    auto(*readNotice)(unsigned status, const std::vector<HttpHeader>& headers) -> BackendNotice;
};

/// @return the protocol of jayhold's own engine interface and of plain services.
auto nativeBackendProtocol() -> const BackendProtocol&;

}
