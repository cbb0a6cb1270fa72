#pragma once

/// A backend server that answers chosen requests as soon as their head has arrived, while their body is still sent.

#include "RawBackend.h"

#include <boost/beast/http/parser.hpp>

#include <array>

namespace jayhold::test {

/// How the connection goes on after an early response.
enum class EarlyEnding {
    /// It is reset, with a part of the body unread.
    Reset,
    /// The server closes its direction and reads the rest of the body.
    Close,
    /// It stays open, and the server reads nothing more.
    Open,
};

class EarlyServer {
public:
    struct Reply {
        std::string bytes;
        /// The request is read whole before it is answered, and its connection is kept, if there is none.
        std::optional<EarlyEnding> ending = {};
        /// Time between the response and the end of the connection.
        std::chrono::milliseconds endDelay {};
    };
    using Script = std::function<Reply(const RawRequest&)>;

    /// @param script called with the head of each request, on the first I/O thread. What it refers to must outlive the threads.
    EarlyServer(IoThreads& threads, Script script)
        : m_state(std::make_shared<State>(threads, std::move(script)))
    {
        boost::asio::co_spawn(threads.context(0), accept(m_state), boost::asio::detached);
    }

    auto endpoint() const -> HttpEndpoint { return { "127.0.0.1", m_state->acceptor.local_endpoint().port() }; }
    auto connections() const -> int { return m_state->connections; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct State {
        State(IoThreads& threads, Script serverScript)
            : script(std::move(serverScript))
            , acceptor(threads.context(0), { boost::asio::ip::make_address("127.0.0.1"), 0 })
        {
        }

        const Script script;
        boost::asio::ip::tcp::acceptor acceptor;
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
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        boost::system::error_code code;
        for (auto call = 1; !code; ++call) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            co_await http::async_read_header(socket, buffer, parser, awaitInto(code));
            if (code)
                co_return;
            const auto& head = parser.get();
            const RawRequest request { .method = std::string(head.method_string()), .target = std::string(head.target()), .id = std::string(head["Request-Id"]), .stage = std::string(head["Stage"]), .connection = connection, .call = call };
            const auto reply = state->script(request);
            if (!reply.ending)
                co_await http::async_read(socket, buffer, parser, awaitInto(code));
            co_await boost::asio::async_write(socket, boost::asio::buffer(reply.bytes), awaitInto(code));
            if (reply.ending) {
                co_await pause(reply.endDelay);
                co_await end(socket, *reply.ending);
                co_return;
            }
        }
    }

    static auto end(Socket& socket, EarlyEnding ending) -> boost::asio::awaitable<void>
    {
        boost::system::error_code code;
        if (ending == EarlyEnding::Reset) {
            // The destructor of the socket would ignore the option.
            socket.set_option(boost::asio::socket_base::linger(true, 0), code);
            socket.close(code);
            co_return;
        }
        constexpr auto openTime = std::chrono::seconds(3);
        if (ending == EarlyEnding::Open)
            co_await pause(openTime);
        socket.shutdown(Socket::shutdown_send, code);
        std::array<char, 65'536> rest {};
        while (!code)
            co_await socket.async_read_some(boost::asio::buffer(rest), awaitInto(code));
    }

    const std::shared_ptr<State> m_state;
};

}
