#pragma once

/// Coroutines that nobody waits for. What they throw is a fault of the program, and must neither go
/// unnoticed nor leave the process without a part of itself.

#include "EventLog.h"
#include "Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <exception>
#include <functional>
#include <string>

namespace jayhold {

/// @param task names the coroutine in the log.
/// @return a completion handler that logs what the coroutine throws; the log must outlive it.
auto logTaskFailure(EventLog& log, std::string task) -> std::function<void(const std::exception_ptr&)>;

/// Long enough that a fault which comes back at once fills neither the log nor the processor.
inline constexpr Duration defaultRestartDelay = std::chrono::seconds(1);

/// Starts a coroutine that is to run as long as the process; where it throws, that is logged and it is
/// started again. One that returns has done its work.
/// @param start makes the coroutine; what it captures lives until the coroutine has returned.
/// @param log must outlive the executor's context.
auto spawnSupervised(const boost::asio::any_io_executor& executor, EventLog& log, std::string task, std::function<boost::asio::awaitable<void>()> start, Duration restartDelay = defaultRestartDelay) -> void;

}
