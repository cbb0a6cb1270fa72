#pragma once

/// A fake model engine for the relay benchmark. It responds to a prefill immediately and streams tokens
/// at a constant rate. The text of each token is the time at which it was sent, from which the receiver
/// computes the transit time.

#include "AwaitToken.h"
#include "HttpServer.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <string>

namespace jayhold::bench {

struct RelayEngineSettings {
    int tokens = 500;
    Duration tokenGap = std::chrono::milliseconds(40);
};

/// @return the monotonic clock in nanoseconds, which is the same in all processes of the machine.
inline auto nanoseconds() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

class RelayEngine {
public:
    RelayEngine(IoThreads& threads, RelayEngineSettings settings)
        : m_settings(settings)
        , m_server(threads, {}, [this](HttpExchange& exchange) { return handle(exchange); })
    {
    }

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }
    auto sentTokens() const -> std::uint64_t { return m_sentTokens; }

private:
    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        const auto& target = exchange.request().target;
        if (target == "/v1/prefill")
            co_await exchange.respond(jsonResponse(200, R"({"handle":"h","prompt_tokens":8,"cached_tokens":0,"kv_bytes":1024,"kept_ms":900})"));
        else if (target == "/v1/decode")
            co_await decode(exchange);
        else if (target == "/v1/load")
            co_await exchange.respond(jsonResponse(200, R"({"id":"e","sequence":)" + std::to_string(++m_sequence) + R"(,"running":0,"waiting":0,"free_pieces":60000,"held":[]})"));
        else if (target == "/v1/cancel")
            co_await exchange.respond(jsonResponse(200, R"({"freed_pieces":0})"));
        else
            co_await exchange.respond(jsonResponse(200, R"({"events":[],"last":0})"));
    }

    auto decode(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        co_await exchange.startStream(200, {});
        boost::asio::steady_timer timer(exchange.executor());
        auto next = std::chrono::steady_clock::now();
        for (auto index = 0; index < m_settings.tokens; ++index) {
            const auto event = R"(data: {"index":)" + std::to_string(index) + R"(,"text":")" + std::to_string(nanoseconds()) + "\"}\n\n";
            const auto isSent = co_await exchange.write(event);
            if (!isSent)
                co_return;
            m_sentTokens.fetch_add(1, std::memory_order_relaxed);
            next += m_settings.tokenGap;
            timer.expires_at(next);
            boost::system::error_code code;
            co_await timer.async_wait(awaitInto(code));
        }
        co_await exchange.write("data: {\"done\":true,\"tokens\":" + std::to_string(m_settings.tokens) + "}\n\n");
        co_await exchange.finishStream();
    }

    const RelayEngineSettings m_settings;
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::atomic<std::uint64_t> m_sentTokens { 0 };
    HttpServer m_server;
};

}
