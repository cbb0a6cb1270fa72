#pragma once

/// Detached coroutines. An exception that one throws is a programming error; it is logged, and a
/// long-running coroutine is restarted so that the process does not lose one of its components.

#include "EventLog.h"
#include "Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <exception>
#include <functional>
#include <string>

namespace jayhold {

/// @param task name of the coroutine in the log.
/// @return a completion handler that logs an exception of the coroutine; the log must outlive it.
auto logTaskFailure(EventLog& log, std::string task) -> std::function<void(const std::exception_ptr&)>;

/// Long enough that a coroutine which fails right after each start neither floods the log nor occupies
/// a processor.
inline constexpr Duration defaultRestartDelay = std::chrono::seconds(1);

/// Starts a coroutine that runs as long as the process. If it throws, the exception is logged and the
/// coroutine is restarted after a delay. A coroutine that returns is not restarted.
/// @param start creates the coroutine; its captures live until the coroutine has returned.
/// @param log must outlive the executor's context.
auto spawnSupervised(const boost::asio::any_io_executor& executor, EventLog& log, std::string task, std::function<boost::asio::awaitable<void>()> start, Duration restartDelay = defaultRestartDelay) -> void;

}
