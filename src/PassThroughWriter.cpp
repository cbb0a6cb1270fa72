#include "PassThroughWriter.h"

namespace jayhold {

namespace asio = boost::asio;

PassThroughWriter::PassThroughWriter(HttpExchange& exchange, const CallerProtocol& protocol)
    : m_exchange(exchange)
    , m_protocol(protocol)
{
}

auto PassThroughWriter::begin(const std::vector<HttpHeader>& headers) -> void
{
    if (!m_exchange.hasStarted())
        m_headers = m_protocol.responseHeaders(headers);
}

auto PassThroughWriter::addToken(std::string_view text) -> void
{
    m_pending += text;
}

auto PassThroughWriter::start() -> asio::awaitable<bool>
{
    // The header is sent with the first event, because until then another engine may take over the
    // response.
    if (m_exchange.hasStarted())
        co_return true;
    const auto isStarted = co_await m_exchange.startStream(200, std::move(m_headers));
    co_return isStarted;
}

auto PassThroughWriter::flush() -> asio::awaitable<bool>
{
    if (m_pending.empty())
        co_return true;
    const auto isStarted = co_await start();
    if (!isStarted)
        co_return false;
    const auto isWritten = co_await m_exchange.write(m_pending);
    m_pending.clear();
    co_return isWritten;
}

auto PassThroughWriter::finish(std::string_view, CompletionUsage) -> asio::awaitable<bool>
{
    const auto isStarted = co_await start();
    if (!isStarted)
        co_return false;
    const auto isWritten = co_await flush();
    if (!isWritten)
        co_return false;
    const auto isFinished = co_await m_exchange.finishStream();
    co_return isFinished;
}

auto PassThroughWriter::fail(ApiError error) -> asio::awaitable<bool>
{
    if (m_exchange.hasStarted()) {
        m_exchange.abort();
        co_return true;
    }
    auto response = error.response ? *error.response : m_protocol.refusal(error);
    const auto isSent = co_await m_exchange.respond(std::move(response));
    co_return isSent;
}

}
