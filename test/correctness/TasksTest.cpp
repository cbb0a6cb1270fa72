#include "Tasks.h"
#include "IoThreads.h"
#include "Pause.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <stdexcept>
#include <thread>

using namespace jayhold;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

auto failTwice(std::atomic<int>& starts) -> asio::awaitable<void>
{
    ++starts;
    co_await pause(1ms);
    if (starts == 1)
        throw std::runtime_error("first fault");
    if (starts == 2)
        throw 7;
}

auto failureDetails(const EventLog& log) -> std::vector<std::string>
{
    std::vector<std::string> details;
    for (const auto& event : log.after(0, EventLog::defaultCapacity)) {
        for (const auto& field : event.fields) {
            if (event.event == "task_failed" && field.key == "detail")
                details.push_back(field.value);
        }
    }
    return details;
}

}

// Guards against a component that stops permanently, or without a log entry, after one exception.
TEST_CASE("a task that throws is logged and restarted until it returns")
{
    EventLog log("entry-1");
    IoThreads threads(1);
    std::atomic<int> starts { 0 };
    spawnSupervised(
        threads.context(0).get_executor(), log, "task", [&] { return failTwice(starts); }, 5ms);
    const auto end = monotonicNow() + 2s;
    while (starts < 3 && monotonicNow() < end)
        std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(50ms);
    CHECK(starts == 3);
    CHECK(failureDetails(log) == std::vector<std::string> { "first fault", "not a standard exception" });
    threads.stop();
}
