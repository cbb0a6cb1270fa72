#pragma once

/// Passes everything on to another exchange, and tells whether the response that was sent is a refusal of a request that
/// did not run. All services send their refusals through the exchange, so this is the one place that sees them.

#include "HttpExchange.h"

#include <utility>

namespace jayhold {

class RefundingExchange final : public HttpExchange {
public:
    explicit RefundingExchange(HttpExchange& exchange)
        : m_exchange(exchange)
    {
    }

    /// @return whether the request was refused, has not run and never will.
    auto isRefusedNotRun() const -> bool { return m_isRefusedNotRun; }

    auto request() const -> const HttpRequest& override { return m_exchange.request(); }
    auto takeBody() -> std::shared_ptr<const std::string> override { return m_exchange.takeBody(); }

    auto respond(HttpResponse response) -> boost::asio::awaitable<bool> override
    {
        m_isRefusedNotRun = response.isNotRun && !m_exchange.hasStarted();
        auto isSent = co_await m_exchange.respond(std::move(response));
        co_return isSent;
    }

    auto startStream(unsigned status, std::vector<HttpHeader> headers) -> boost::asio::awaitable<bool> override { return m_exchange.startStream(status, std::move(headers)); }
    auto write(std::string_view chunk) -> boost::asio::awaitable<bool> override { return m_exchange.write(chunk); }
    auto finishStream() -> boost::asio::awaitable<bool> override { return m_exchange.finishStream(); }
    auto abort() -> void override { m_exchange.abort(); }
    auto onClose(std::function<void()> callback) -> void override { m_exchange.onClose(std::move(callback)); }
    auto hasStarted() const -> bool override { return m_exchange.hasStarted(); }
    auto executor() -> boost::asio::any_io_executor override { return m_exchange.executor(); }
    auto client() -> HttpClient& override { return m_exchange.client(); }

private:
    HttpExchange& m_exchange;
    bool m_isRefusedNotRun = false;
};

}
