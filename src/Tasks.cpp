#include "Tasks.h"

#include "ExceptionText.h"
#include "Pause.h"

#include <boost/asio/co_spawn.hpp>

namespace jayhold {

namespace asio = boost::asio;

namespace {

auto logException(EventLog& log, std::string_view task, const std::exception_ptr& thrown) -> void
{
    log.record(LogLevel::Error, "task_failed", { { "task", task }, { "detail", exceptionText(thrown) } });
}

auto superviseTask(EventLog& log, std::string task, std::function<asio::awaitable<void>()> start, Duration restartDelay) -> asio::awaitable<void>
{
    while (true) {
        std::exception_ptr thrown;
        try {
            co_await start();
        } catch (...) {
            thrown = std::current_exception();
        }
        if (!thrown)
            co_return;
        logException(log, task, thrown);
        co_await pause(restartDelay);
    }
}

}

auto logTaskFailure(EventLog& log, std::string task) -> std::function<void(const std::exception_ptr&)>
{
    return [&log, task = std::move(task)](const std::exception_ptr& thrown) {
        if (thrown)
            logException(log, task, thrown);
    };
}

auto spawnSupervised(const asio::any_io_executor& executor, EventLog& log, std::string task, std::function<asio::awaitable<void>()> start, Duration restartDelay) -> void
{
    auto onEnd = logTaskFailure(log, task);
    asio::co_spawn(executor, superviseTask(log, std::move(task), std::move(start), restartDelay), std::move(onEnd));
}

}
