#include "ConnectionLog.h"

namespace jayhold {

namespace {

auto requestIdOf(const EntryContext& context, const HttpRequest& request) -> std::string
{
    if (!context.callerProtocol.decode)
        return {};
    auto call = context.callerProtocol.decode(request);
    return call.has_value() ? std::move(call->requestId) : std::string();
}

}

auto logConnectionClose(EntryContext& context, const ConnectionClose& close) -> void
{
    const auto isException = close.reason == CloseReason::Exception;
    if (!close.unansweredRequest && !isException)
        return;
    std::vector<LogField> fields { { "reason", name(close.reason) } };
    if (const auto* request = close.unansweredRequest) {
        fields.emplace_back("request", requestIdOf(context, *request));
        fields.emplace_back("method", request->method);
        fields.emplace_back("target", request->target);
        fields.emplace_back("response_started", close.hasStarted);
    }
    if (!close.detail.empty())
        fields.emplace_back("detail", close.detail);
    context.log.record(isException ? LogLevel::Error : LogLevel::Info, "connection_closed", fields);
}

auto recordCallerClose(EntryContext& context, const ConnectionClose& close) -> void
{
    context.metrics.countClosedConnection(name(close.reason));
    logConnectionClose(context, close);
}

}
