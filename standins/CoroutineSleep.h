#pragma once

/// Timed waits for the coroutines of the stand-ins and tools.

#include "AwaitToken.h"
#include "Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace jayhold {

/// How often a coroutine that an injected fault blocks checks whether the fault is cleared.
inline constexpr auto faultPollInterval = std::chrono::milliseconds(2);

inline auto sleepUntil(TimePoint time) -> boost::asio::awaitable<void>
{
    boost::system::error_code ignored;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(awaitInto(ignored));
}

inline auto sleepFor(Duration duration) -> boost::asio::awaitable<void>
{
    co_await sleepUntil(monotonicNow() + duration);
}

}
