#include "CompletionWriter.h"

namespace jayhold {

namespace asio = boost::asio;

CompletionWriter::CompletionWriter(HttpExchange& exchange, const CompletionRequest& request, CompletionFormat format, std::vector<HttpHeader> headers)
    : m_exchange(exchange)
    , m_format(std::move(format))
    , m_headers(std::move(headers))
    , m_isStream(request.isStream)
    , m_includesUsage(request.includesUsage)
{
}

auto CompletionWriter::addToken(std::string_view text) -> void
{
    if (m_isStream)
        m_format.appendToken(m_pending, text, !m_hasTokens);
    else
        m_pending += text;
    m_hasTokens = true;
}

auto CompletionWriter::flush() -> asio::awaitable<bool>
{
    if (!m_isStream || m_pending.empty())
        co_return true;
    if (!m_exchange.hasStarted()) {
        auto headers = m_headers;
        headers.push_back({ "Content-Type", "text/event-stream" });
        headers.push_back({ "Cache-Control", "no-cache" });
        const auto isStarted = co_await m_exchange.startStream(200, std::move(headers));
        if (!isStarted)
            co_return false;
    }
    const auto isWritten = co_await m_exchange.write(m_pending);
    m_pending.clear();
    co_return isWritten;
}

auto CompletionWriter::finish(std::string_view finishReason, CompletionUsage usage) -> asio::awaitable<bool>
{
    if (!m_isStream) {
        auto response = jsonResponse(200, m_format.completeDocument(m_pending, finishReason, usage));
        response.headers.insert(response.headers.end(), m_headers.begin(), m_headers.end());
        const auto isSent = co_await m_exchange.respond(std::move(response));
        co_return isSent;
    }
    m_format.appendFinish(m_pending, finishReason);
    if (m_includesUsage)
        m_format.appendUsage(m_pending, usage);
    m_pending += streamEnd;
    const auto isWritten = co_await flush();
    if (!isWritten)
        co_return false;
    const auto isFinished = co_await m_exchange.finishStream();
    co_return isFinished;
}

auto CompletionWriter::fail(ApiError error) -> asio::awaitable<bool>
{
    if (!m_exchange.hasStarted()) {
        auto response = toResponse(error);
        response.headers.insert(response.headers.end(), m_headers.begin(), m_headers.end());
        const auto isSent = co_await m_exchange.respond(std::move(response));
        co_return isSent;
    }
    m_pending += toStreamEvent(error);
    const auto isWritten = co_await flush();
    if (!isWritten)
        co_return false;
    const auto isFinished = co_await m_exchange.finishStream();
    co_return isFinished;
}

}
