#pragma once

/// A timeout for reads of a server's connection. Private to the HTTP library.

#include "HttpServerConnectionState.h"
#include "Time.h"

#include <boost/asio/steady_timer.hpp>

namespace jayhold {

/// Cancels a read after a timeout but leaves the socket open, so that an error response can still be
/// sent; the timeout of the stream would close the socket.
class ReadTimer {
public:
    ReadTimer(std::shared_ptr<HttpServerConnectionState> connection, Duration timeout)
        : m_state(std::make_shared<State>(std::move(connection)))
        , m_timer(m_state->connection->stream.get_executor(), timeout)
    {
        m_timer.async_wait([state = m_state](boost::system::error_code code) {
            if (code || state->isFinished)
                return;
            state->hasTimedOut = true;
            state->connection->stream.cancel();
        });
    }
    ~ReadTimer() { m_state->isFinished = true; }
    ReadTimer(const ReadTimer&) = delete;
    auto operator=(const ReadTimer&) -> ReadTimer& = delete;

    auto hasTimedOut() const -> bool { return m_state->hasTimedOut; }

private:
    struct State {
        explicit State(std::shared_ptr<HttpServerConnectionState> connectionState)
            : connection(std::move(connectionState))
        {
        }

        const std::shared_ptr<HttpServerConnectionState> connection;
        bool isFinished = false;
        bool hasTimedOut = false;
    };

    const std::shared_ptr<State> m_state;
    boost::asio::steady_timer m_timer;
};

}
