#pragma once

/// A backend server that sends the exact bytes that a test gives it.

#include "HttpServer.h"
#include "Pause.h"

#include "AwaitToken.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace jayhold::test {

struct RawRequest {
    std::string method;
    std::string target;
    std::string id;
    /// Value of the field Stage.
    std::string stage;
    /// Value of the field Last-Event-Id.
    std::string lastEvent;
    /// Value of the field Cache-Source.
    std::string cacheSource;
    /// Value of the field Cache-Hold.
    std::string cacheHold;
    /// Number of the connection and of the request on it, from 1.
    int connection = 0;
    int call = 0;
    std::string body = {};
};

struct RawReply {
    std::string bytes;
    /// Whether the connection is closed afterwards.
    bool closes = false;
    /// Sent after a delay, without a request.
    std::string lateBytes = {};
    /// Whether the connection is reset instead of closed, if it is closed.
    bool resets = false;
    /// Time before the connection is closed, if it is closed.
    std::chrono::milliseconds closeDelay {};
};

class RawBackend {
public:
    using Script = std::function<RawReply(const RawRequest&)>;

    /// @param script called for each request, on an I/O thread, until the destructor returns.
    RawBackend(IoThreads& threads, Script script)
        : m_state(std::make_shared<State>(threads, std::move(script)))
    {
        boost::asio::co_spawn(threads.context(0), accept(m_state), boost::asio::detached);
    }
    ~RawBackend()
    {
        {
            const std::lock_guard guard(m_state->lock);
            m_state->script = nullptr;
        }
        boost::asio::post(m_state->acceptor.get_executor(), [state = m_state] {
            boost::system::error_code ignored;
            state->acceptor.close(ignored);
        });
    }
    RawBackend(const RawBackend&) = delete;
    auto operator=(const RawBackend&) -> RawBackend& = delete;

    auto endpoint() const -> HttpEndpoint { return m_state->endpoint; }
    /// @return the number of requests that were not control calls.
    auto calls() const -> int { return m_state->calls; }
    auto connections() const -> int { return m_state->connections; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    /// The I/O threads may still serve connections when the server is destroyed, so their coroutines share its state.
    struct State {
        State(IoThreads& threads, Script serverScript)
            : script(std::move(serverScript))
            , acceptor(threads.context(0), { boost::asio::ip::make_address("127.0.0.1"), 0 })
            , endpoint { "127.0.0.1", acceptor.local_endpoint().port() }
        {
        }

        /// @return the reply of the script; std::nullopt if the server was destroyed.
        auto reply(const RawRequest& request) -> std::optional<RawReply>
        {
            const std::lock_guard guard(lock);
            return script ? std::optional(script(request)) : std::nullopt;
        }

        /// Protects script, and what it refers to, against its use after the server was destroyed.
        std::mutex lock;
        Script script;
        boost::asio::ip::tcp::acceptor acceptor;
        const HttpEndpoint endpoint;
        std::atomic<int> calls { 0 };
        std::atomic<int> connections { 0 };
    };

    static auto accept(std::shared_ptr<State> state) -> boost::asio::awaitable<void>
    {
        while (true) {
            boost::system::error_code code;
            auto socket = co_await state->acceptor.async_accept(awaitInto(code));
            if (code)
                co_return;
            boost::asio::co_spawn(state->acceptor.get_executor(), serve(state, std::move(socket), ++state->connections), boost::asio::detached);
        }
    }

    static auto serve(std::shared_ptr<State> state, Socket socket, int connection) -> boost::asio::awaitable<void>
    {
        boost::beast::flat_buffer buffer;
        for (auto call = 1;; ++call) {
            boost::beast::http::request<boost::beast::http::string_body> message;
            boost::system::error_code code;
            co_await boost::beast::http::async_read(socket, buffer, message, awaitInto(code));
            if (code)
                co_return;
            const RawRequest request { std::string(message.method_string()), std::string(message.target()), std::string(message["Request-Id"]), std::string(message["Stage"]), std::string(message["Last-Event-Id"]), std::string(message["Cache-Source"]), std::string(message["Cache-Hold"]), connection, call, message.body() };
            state->calls += !request.target.starts_with("/-/");
            const auto reply = state->reply(request);
            if (!reply)
                co_return;
            co_await boost::asio::async_write(socket, boost::asio::buffer(reply->bytes), awaitInto(code));
            if (!reply->lateBytes.empty()) {
                co_await pause(std::chrono::milliseconds(20));
                co_await boost::asio::async_write(socket, boost::asio::buffer(reply->lateBytes), awaitInto(code));
            }
            if (reply->closes && reply->closeDelay > std::chrono::milliseconds::zero())
                co_await pause(reply->closeDelay);
            if (reply->closes && reply->resets) {
                // The destructor of the socket would ignore the option.
                socket.set_option(boost::asio::socket_base::linger(true, 0), code);
                socket.close(code);
            }
            if (code || reply->closes)
                co_return;
        }
    }

    const std::shared_ptr<State> m_state;
};

/// @param fields header lines, each with its line end.
/// @return a response with a body of known length.
inline auto rawResponse(int status, const std::string& fields, const std::string& body = {}) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline auto idField(const RawRequest& request) -> std::string
{
    return "Request-Id: " + request.id + "\r\n";
}

/// @return a correct response to a plain call.
inline auto validResponse(const RawRequest& request) -> std::string
{
    return rawResponse(200, idField(request) + "Server-Seal: s\r\n", request.method + " " + request.target);
}

/// @return a correct response to a control call or a prefill.
inline auto validControlResponse(const RawRequest& request) -> std::string
{
    if (request.target == "/-/hold-take")
        return rawResponse(200, "Content-Type: application/json\r\n", R"({"hold":"seat"})");
    if (request.target.starts_with("/-/"))
        return rawResponse(200, "", "{}");
    return rawResponse(200, idField(request) + "Server-Seal: s\r\n", R"({"handleId":"h1","tokens":100,"version":1})");
}

/// @return a rejection that says that the request was not run.
inline auto rejectionOf(const RawRequest& request, int status = 503) -> std::string
{
    return rawResponse(status, idField(request) + "Not-Executed: 1\r\n");
}

}
