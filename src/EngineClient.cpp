#include "EngineClient.h"

#include "BackendProtocol.h"
#include "EngineMessages.h"

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr auto cancelTimeout = std::chrono::seconds(1);
/// A prefill response contains no payload, so it is short.
constexpr std::size_t maxPrefillResponseBytes = 1U << 16U;

auto postRequest(std::string target, std::string body) -> HttpRequest
{
    return { "POST", std::move(target), { { "Content-Type", "application/json" } }, std::move(body) };
}

auto readBody(HttpStream& stream, Duration timeout) -> asio::awaitable<EngineResult<std::string>>
{
    auto response = co_await stream.readAll(maxPrefillResponseBytes, monotonicNow() + timeout);
    if (response.has_error())
        co_return engineErrorOf(response.error());
    co_return std::move(response->body);
}

auto engineCallOptions(Duration timeout) -> HttpCallOptions
{
    HttpCallOptions options;
    options.timeout = timeout;
    options.outlastsSilence = true;
    return options;
}

}

// Prefill and decode use open() rather than request(), because closing a connection of their own cancels
// the call.
auto prefillOnEngine(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> asio::awaitable<EngineResult<PrefillResult>>
{
    auto request = postRequest("/v1/prefill", serializePrefillCall(call));
    auto options = engineCallOptions(timeout);
    const auto sentAt = monotonicNow();
    const auto stream = co_await client.open(server.endpoint, std::move(request), std::move(options));
    if (stream.has_error())
        co_return engineErrorOf(stream.error());
    call.onNotice(server, sentAt, nativeBackendProtocol().readNotice((*stream)->status(), (*stream)->headers()));
    if ((*stream)->status() != 200)
        co_return engineErrorOf((*stream)->status());
    const auto body = co_await readBody(**stream, timeout);
    if (body.has_error())
        co_return body.error();
    auto result = parsePrefillResult(*body);
    if (!result)
        co_return EngineError { FailureKind::ServerError, "malformed prefill result" };
    co_return std::move(*result);
}

auto decodeOnEngine(HttpClient& client, BackendServer server, EngineCall call, Duration timeout) -> asio::awaitable<EngineResult<std::shared_ptr<HttpStream>>>
{
    auto request = postRequest("/v1/decode", serializeDecodeCall(call));
    auto options = engineCallOptions(timeout);
    const auto sentAt = monotonicNow();
    const auto stream = co_await client.open(server.endpoint, std::move(request), std::move(options));
    if (stream.has_error())
        co_return engineErrorOf(stream.error());
    call.onNotice(server, sentAt, nativeBackendProtocol().readNotice((*stream)->status(), (*stream)->headers()));
    if ((*stream)->status() != 200)
        co_return engineErrorOf((*stream)->status());
    co_return *stream;
}

auto cancelOnEngine(HttpClient& client, HttpEndpoint endpoint, std::string requestId) -> asio::awaitable<bool>
{
    auto request = postRequest("/v1/cancel", serializeCancelCall(requestId));
    request.isIdempotent = true;
    const auto response = co_await client.request(std::move(endpoint), std::move(request), cancelTimeout);
    co_return response.has_value() && response->status == 200;
}

auto fetchEngineLoad(HttpClient& client, HttpEndpoint endpoint, Duration timeout) -> asio::awaitable<EngineResult<EngineLoad>>
{
    HttpRequest request { .target = "/v1/load" };
    const auto response = co_await client.request(std::move(endpoint), std::move(request), timeout);
    if (response.has_error())
        co_return engineErrorOf(response.error());
    if (response->status != 200)
        co_return engineErrorOf(response->status);
    auto load = parseEngineLoad(response->body);
    if (!load)
        co_return EngineError { FailureKind::ServerError, "malformed load report" };
    co_return std::move(*load);
}

auto fetchCacheEvents(HttpClient& client, HttpEndpoint endpoint, std::uint64_t after, Duration timeout) -> asio::awaitable<EngineResult<EngineCacheEvents>>
{
    HttpRequest request { .target = "/v1/cache_events?after=" + std::to_string(after) };
    const auto response = co_await client.request(std::move(endpoint), std::move(request), timeout);
    if (response.has_error())
        co_return engineErrorOf(response.error());
    if (response->status != 200)
        co_return engineErrorOf(response->status);
    auto events = parseCacheEvents(response->body);
    if (!events)
        co_return EngineError { FailureKind::ServerError, "malformed cache events" };
    co_return std::move(*events);
}

}
