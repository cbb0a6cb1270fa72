#pragma once

/// The wait of a drain for the exchanges that are still open.

#include "HttpServer.h"

namespace jayhold {

/// Time in which an I/O thread that stood still reads what has arrived meanwhile and sends the answers.
inline constexpr Duration minDrainWait = std::chrono::milliseconds(50);

/// Waits until the server has no open exchange, at most until a time. If the caller or the wait itself stood still past
/// that time, it lasts another `minDrainWait`, because the answers to the exchanges may have arrived meanwhile. That is
/// done a few times at most.
auto awaitExchanges(const HttpServer& server, TimePoint until) -> boost::asio::awaitable<void>;

}
