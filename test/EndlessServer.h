#pragma once

/// A backend server whose responses have no end.

#include "HttpServer.h"
#include "Pause.h"

#include "AwaitToken.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <string>

namespace jayhold::test {

/// Accepts any number of calls and answers each with a prefix and then bytes without end, at a steady rate, until the
/// caller closes.
class EndlessServer {
public:
    /// @param filler bytes that are sent every 10 ms.
    EndlessServer(IoThreads& threads, std::string prefix, std::string filler = std::string(16'384, 'x'))
        : m_state(std::make_shared<State>(threads, std::move(prefix), std::move(filler)))
    {
        boost::asio::co_spawn(threads.context(0), accept(m_state), boost::asio::detached);
    }

    auto endpoint() const -> HttpEndpoint { return { "127.0.0.1", m_state->acceptor.local_endpoint().port() }; }
    auto calls() const -> int { return m_state->calls; }
    /// @return the largest number of bytes that were sent to callers which had not closed.
    auto peakBytes() const -> std::size_t { return m_state->peakBytes; }

private:
    struct State {
        State(IoThreads& threads, std::string start, std::string rest)
            : acceptor(threads.context(0), { boost::asio::ip::make_address("127.0.0.1"), 0 })
            , prefix(std::move(start))
            , filler(std::move(rest))
        {
        }

        boost::asio::ip::tcp::acceptor acceptor;
        const std::string prefix;
        std::atomic<int> calls { 0 };
        const std::string filler;
        std::size_t bytes = 0;
        std::atomic<std::size_t> peakBytes { 0 };
    };

    static auto accept(std::shared_ptr<State> state) -> boost::asio::awaitable<void>
    {
        while (true) {
            boost::system::error_code code;
            auto socket = co_await state->acceptor.async_accept(awaitInto(code));
            if (code)
                co_return;
            ++state->calls;
            // The bytes that wait in the sender's buffer are not the caller's.
            socket.set_option(boost::asio::socket_base::send_buffer_size(16'384), code);
            boost::asio::co_spawn(state->acceptor.get_executor(), serve(state, std::move(socket)), boost::asio::detached);
        }
    }

    static auto serve(std::shared_ptr<State> state, boost::asio::ip::tcp::socket socket) -> boost::asio::awaitable<void>
    {
        constexpr auto interval = std::chrono::milliseconds(10);
        std::array<char, 4'096> request {};
        boost::system::error_code code;
        co_await socket.async_read_some(boost::asio::buffer(request), awaitInto(code));
        co_await boost::asio::async_write(socket, boost::asio::buffer(state->prefix), awaitInto(code));
        std::size_t sent = 0;
        while (!code) {
            const auto size = co_await boost::asio::async_write(socket, boost::asio::buffer(state->filler), awaitInto(code));
            sent += size;
            state->bytes += size;
            state->peakBytes = std::max<std::size_t>(state->peakBytes, state->bytes);
            co_await pause(interval);
        }
        state->bytes -= sent;
    }

    const std::shared_ptr<State> m_state;
};

}
