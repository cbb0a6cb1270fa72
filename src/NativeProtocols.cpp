#include "BackendProtocol.h"
#include "CallLimitFormat.h"
#include "CallerProtocol.h"
#include "EngineClient.h"
#include "TokenEventReader.h"

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Selects the header fields that are forwarded to callers; all others concern the connection.
auto responseHeaders(const std::vector<HttpHeader>& headers) -> std::vector<HttpHeader>
{
    std::vector<HttpHeader> forwarded;
    for (const auto* name : { "Content-Type", "Location", "ETag", "Retry-After" }) {
        if (const auto value = findHeader(headers, name))
            forwarded.push_back({ name, std::string(*value) });
    }
    return forwarded;
}

auto makeEventReader() -> std::unique_ptr<EventReader>
{
    return std::make_unique<TokenEventReader>();
}

/// Servers of this protocol report that they are leaving by rejecting a call.
auto readNotice(unsigned status, const std::vector<HttpHeader>& headers) -> BackendNotice
{
    return { .status = status, .callsPerSecond = parseCallLimit(findHeader(headers, "X-Calls-Per-Second")) };
}

auto plainCall(HttpClient& client, BackendServer server, const PlainCallInfo& call, Duration timeout) -> asio::awaitable<HttpResult<HttpResponse>>
{
    auto request = call.request;
    HttpCallOptions options;
    options.timeout = timeout;
    options.outlastsSilence = true;
    // Only calls that may be executed more than once use idle connections, which the server may close
    // while a call is sent.
    options.mayReuse = call.kind.repeatable;
    options.mayResend = [&call, server] { return call.mayResend(server); };
    options.onHeader = [&call, server, sentAt = monotonicNow()](unsigned status, const std::vector<HttpHeader>& headers) { call.onNotice(server, sentAt, readNotice(status, headers)); };
    auto response = co_await client.request(std::move(server.endpoint), std::move(request), std::move(options));
    co_return response;
}

auto classifyResponse(const PlainCallInfo&, const HttpResponse& response) -> ResponseClass
{
    if (response.status != 503)
        return ResponseClass::Final;
    // A backend server that is leaving rejects a call before executing it.
    const auto saysNotRun = response.body.find(R"("ran":"no")") != std::string::npos || response.body.find(R"("ran":false)") != std::string::npos;
    return saysNotRun ? ResponseClass::Leaving : ResponseClass::Failed;
}

}

auto nativeCallerProtocol() -> const CallerProtocol&
{
    static constexpr CallerProtocol protocol {
        .responseHeaders = responseHeaders,
        .refusal = toResponse,
        .decode = nullptr,
        .setCustomer = nullptr,
        .showsHybridTime = true,
    };
    return protocol;
}

auto nativeBackendProtocol() -> const BackendProtocol&
{
    static constexpr BackendProtocol protocol {
        .prefill = prefillOnEngine,
        .decode = decodeOnEngine,
        .cancel = cancelOnEngine,
        .releasePrefill = nullptr,
        .reserveSlot = nullptr,
        .releaseSlot = nullptr,
        .orderState = nullptr,
        .orderRole = nullptr,
        .load = fetchEngineLoad,
        .cacheEvents = fetchCacheEvents,
        .makeEventReader = makeEventReader,
        .indexRule = IndexRule::Contiguous,
        .plainCall = plainCall,
        .classifyResponse = classifyResponse,
        .readNotice = readNotice,
    };
    return protocol;
}

}
