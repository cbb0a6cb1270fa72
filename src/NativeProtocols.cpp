#include "BackendProtocol.h"
#include "CallerProtocol.h"
#include "EngineClient.h"
#include "TokenEventReader.h"

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// The fields of a backend server's answer that callers get; all others concern the connection.
auto answerHeaders(const std::vector<HttpHeader>& headers) -> std::vector<HttpHeader>
{
    std::vector<HttpHeader> kept;
    for (const auto* name : { "Content-Type", "Location", "ETag", "Retry-After" }) {
        if (const auto value = findHeader(headers, name))
            kept.push_back({ name, std::string(*value) });
    }
    return kept;
}

auto makeEventReader() -> std::unique_ptr<EventReader>
{
    return std::make_unique<TokenEventReader>();
}

auto plainCall(HttpClient& client, BackendServer server, const PlainCallInfo& call, Duration timeout) -> asio::awaitable<HttpResult<HttpResponse>>
{
    auto request = call.request;
    // The client sends a call again by itself only where it may run more than once.
    request.isIdempotent = call.kind.repeatable;
    auto answer = co_await client.request(std::move(server.endpoint), std::move(request), timeout);
    co_return answer;
}

auto judge(const PlainCallInfo&, const HttpResponse& answer) -> AnswerVerdict
{
    if (answer.status != 503)
        return AnswerVerdict::Final;
    // A backend server that is leaving says so before it runs a call.
    const auto saysNotRun = answer.body.find(R"("ran":"no")") != std::string::npos || answer.body.find(R"("ran":false)") != std::string::npos;
    return saysNotRun ? AnswerVerdict::Leaving : AnswerVerdict::Failed;
}

}

auto nativeCallerProtocol() -> const CallerProtocol&
{
    static constexpr CallerProtocol protocol {
        .answerHeaders = answerHeaders,
        .refusal = toResponse,
        .decode = nullptr,
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
        .holdSeat = nullptr,
        .dropSeat = nullptr,
        .orderState = nullptr,
        .orderRole = nullptr,
        .load = loadOfEngine,
        .cacheEvents = cacheEventsOfEngine,
        .makeEventReader = makeEventReader,
        .indexRule = IndexRule::Contiguous,
        .plainCall = plainCall,
        .judge = judge,
    };
    return protocol;
}

}
