#pragma once

/// The end of a coroutine that nobody waits for. What it throws is a fault of the program, and must not
/// end it without a trace.

#include "EventLog.h"

#include <exception>
#include <string>

namespace jayhold {

/// @param task names the coroutine in the log.
/// @return a completion handler that logs what the coroutine throws; the log must outlive it.
inline auto reportTaskEnd(EventLog& log, std::string task)
{
    return [&log, task = std::move(task)](const std::exception_ptr& thrown) {
        if (!thrown)
            return;
        try {
            std::rethrow_exception(thrown);
        } catch (const std::exception& error) {
            log.record(LogLevel::Error, "task_failed", { { "task", task }, { "detail", error.what() } });
        } catch (...) {
            log.record(LogLevel::Error, "task_failed", { { "task", task } });
        }
    };
}

}
