#pragma once

/// A scripted model engine for tests of the entry daemon. Each decode call runs the next of the given
/// scripts, so that faults occur at an exact token.

#include "AwaitToken.h"
#include "HttpServer.h"
#include "Pause.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <deque>
#include <mutex>

namespace jayhold {

enum class ScriptEnd {
    /// Ends the body regularly.
    Finish,
    /// Closes the connection.
    Abort,
    /// Sends nothing more until the client closes the connection.
    Stall,
};

struct DecodeScript {
    /// With other values, only this status is sent, and no event.
    unsigned status = 200;
    std::vector<std::string> chunks;
    ScriptEnd end = ScriptEnd::Finish;
};

/// @return the event of one token.
inline auto tokenEvent(int index, const std::string& text) -> std::string
{
    return R"(data: {"index":)" + std::to_string(index) + R"(,"text":")" + text + "\"}\n\n";
}

/// @return the last event of a stream.
inline auto doneEvent(int tokens) -> std::string
{
    return R"(data: {"done":true,"tokens":)" + std::to_string(tokens) + "}\n\n";
}

class FakeEngine {
public:
    FakeEngine(IoThreads& threads, std::deque<DecodeScript> scripts = {})
        : m_scripts(std::move(scripts))
        , m_server(threads, {}, [this](HttpExchange& exchange) { return handle(exchange); })
    {
    }

    auto endpoint() const -> HttpEndpoint { return m_server.endpoint(); }
    auto setPrefillStatus(unsigned status) -> void { m_prefillStatus = status; }
    /// Prefills get no response until their connections are closed by abortPrefills().
    auto holdPrefills() -> void { m_holdsPrefills = true; }
    auto abortPrefills() -> void { m_holdsPrefills = false; }

    /// @return a copy, made under the lock.
    auto decodes() const -> std::vector<boost::json::value> { return copy(m_decodes); }
    auto cancels() const -> std::vector<std::string> { return copy(m_cancels); }
    auto closedStreams() const -> int { return m_closedStreams; }
    auto prefills() const -> int { return m_prefills; }

    /// Makes the load report show memory that is held for a request.
    auto hold(const std::string& requestId, const std::string& owner) -> void
    {
        const std::lock_guard guard(m_lock);
        m_held = R"({"request_id":")" + requestId + R"(","owner":")" + owner + R"(","pieces":1,"age_ms":5})";
    }

private:
    template <typename List>
    auto copy(const List& list) const -> List
    {
        const std::lock_guard guard(m_lock);
        return list;
    }

    auto handle(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        const auto& target = exchange.request().target;
        if (target == "/v1/prefill")
            co_await prefill(exchange);
        else if (target == "/v1/decode")
            co_await decode(exchange);
        else if (target == "/v1/cancel")
            co_await cancel(exchange);
        else if (target == "/v1/load")
            co_await exchange.respond(jsonResponse(200, loadReport()));
        else
            co_await exchange.respond(jsonResponse(200, R"({"events":[],"last":0})"));
    }

    auto loadReport() -> std::string
    {
        const std::lock_guard guard(m_lock);
        return R"({"id":"e","sequence":)" + std::to_string(++m_sequence) + R"(,"running":0,"waiting":0,"free_pieces":64,"held":[)" + m_held + "]}";
    }

    auto prefill(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        ++m_prefills;
        if (m_holdsPrefills) {
            while (m_holdsPrefills)
                co_await pause(std::chrono::milliseconds(1));
            exchange.abort();
            co_return;
        }
        if (m_prefillStatus != 200) {
            co_await exchange.respond(jsonResponse(m_prefillStatus, R"({"error":"busy","ran":false})"));
            co_return;
        }
        co_await exchange.respond(jsonResponse(200, R"({"handle":"kv","prompt_tokens":5,"cached_tokens":2,"kv_bytes":9,"kept_ms":1000})"));
    }

    auto cancel(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        const auto request = boost::json::parse(exchange.request().body);
        {
            const std::lock_guard guard(m_lock);
            m_cancels.emplace_back(request.at("request_id").as_string());
            m_held.clear();
        }
        co_await exchange.respond(jsonResponse(200, R"({"freed_pieces":0})"));
    }

    auto nextScript(const std::string& body) -> DecodeScript
    {
        const std::lock_guard guard(m_lock);
        m_decodes.push_back(boost::json::parse(body));
        if (m_scripts.empty())
            return { .status = 500 };
        auto script = std::move(m_scripts.front());
        m_scripts.pop_front();
        return script;
    }

    auto decode(HttpExchange& exchange) -> boost::asio::awaitable<void>
    {
        const auto script = nextScript(exchange.request().body);
        if (script.status != 200) {
            co_await exchange.respond(jsonResponse(script.status, "{}"));
            co_return;
        }
        boost::asio::steady_timer timer(exchange.executor());
        timer.expires_after(std::chrono::seconds(10));
        exchange.onClose([&] {
            ++m_closedStreams;
            timer.cancel();
        });
        co_await exchange.startStream(200, {});
        for (const auto& chunk : script.chunks)
            co_await exchange.write(chunk);
        if (script.end == ScriptEnd::Finish) {
            co_await exchange.finishStream();
        } else if (script.end == ScriptEnd::Abort) {
            exchange.abort();
        } else {
            boost::system::error_code ignored;
            co_await timer.async_wait(awaitInto(ignored));
        }
        exchange.onClose({});
    }

    mutable std::mutex m_lock;
    std::deque<DecodeScript> m_scripts;
    std::vector<boost::json::value> m_decodes;
    std::vector<std::string> m_cancels;
    std::string m_held;
    std::uint64_t m_sequence = 0;
    std::atomic<unsigned> m_prefillStatus { 200 };
    std::atomic<bool> m_holdsPrefills { false };
    std::atomic<int> m_prefills { 0 };
    std::atomic<int> m_closedStreams { 0 };
    HttpServer m_server;
};

}
