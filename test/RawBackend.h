#pragma once

/// A backend server that sends the exact bytes that a test gives it.

#include "HttpServer.h"
#include "Pause.h"

#include "AwaitToken.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
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
};

struct RawReply {
    std::string bytes;
    /// Whether the connection is closed afterwards.
    bool closes = false;
    /// Sent after a delay, without a request.
    std::string lateBytes = {};
};

class RawBackend {
public:
    using Script = std::function<RawReply(const RawRequest&)>;

    /// @param script called for each request, on an I/O thread.
    RawBackend(IoThreads& threads, Script script)
        : m_script(std::move(script))
        , m_acceptor(threads.context(0), { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
        boost::asio::co_spawn(threads.context(0), accept(), boost::asio::detached);
    }

    auto endpoint() const -> HttpEndpoint { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    /// @return the number of requests that were not control calls.
    auto calls() const -> int { return m_calls; }
    auto connections() const -> int { return m_connections; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    auto accept() -> boost::asio::awaitable<void>
    {
        while (true) {
            boost::system::error_code code;
            auto socket = co_await m_acceptor.async_accept(awaitInto(code));
            if (code)
                co_return;
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket), ++m_connections), boost::asio::detached);
        }
    }

    auto serve(Socket socket, int connection) -> boost::asio::awaitable<void>
    {
        boost::beast::flat_buffer buffer;
        for (auto call = 1;; ++call) {
            boost::beast::http::request<boost::beast::http::string_body> message;
            boost::system::error_code code;
            co_await boost::beast::http::async_read(socket, buffer, message, awaitInto(code));
            if (code)
                co_return;
            const RawRequest request { std::string(message.method_string()), std::string(message.target()), std::string(message["Request-Id"]), std::string(message["Stage"]), std::string(message["Last-Event-Id"]), std::string(message["Cache-Source"]), std::string(message["Cache-Hold"]), connection, call };
            m_calls += !request.target.starts_with("/-/");
            const auto reply = m_script(request);
            co_await boost::asio::async_write(socket, boost::asio::buffer(reply.bytes), awaitInto(code));
            if (!reply.lateBytes.empty()) {
                co_await pause(std::chrono::milliseconds(20));
                co_await boost::asio::async_write(socket, boost::asio::buffer(reply.lateBytes), awaitInto(code));
            }
            if (code || reply.closes)
                co_return;
        }
    }

    const Script m_script;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_calls { 0 };
    std::atomic<int> m_connections { 0 };
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
