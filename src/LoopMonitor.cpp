#include "LoopMonitor.h"

#include "AwaitToken.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace jayhold {

namespace asio = boost::asio;

namespace {

auto processorTime() -> Duration
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

/// The scheduler's statistics of the thread that creates the object.
class SchedulerStatistics {
public:
    SchedulerStatistics()
        : m_descriptor(open("/proc/thread-self/schedstat", O_RDONLY | O_CLOEXEC))
    {
    }
    ~SchedulerStatistics()
    {
        if (m_descriptor >= 0)
            close(m_descriptor);
    }
    SchedulerStatistics(const SchedulerStatistics&) = delete;
    auto operator=(const SchedulerStatistics&) -> SchedulerStatistics& = delete;

    /// @return the time that the thread has waited for a processor; nothing if the system does not tell.
    auto waitingTime() const -> std::optional<Duration>
    {
        std::array<char, 96> text {};
        if (m_descriptor < 0 || pread(m_descriptor, text.data(), text.size() - 1, 0) <= 0)
            return std::nullopt;
        unsigned long long running = 0;
        unsigned long long waiting = 0;
        // NOLINTNEXTLINE(cert-err34-c): the kernel writes the numbers.
        if (std::sscanf(text.data(), "%llu %llu", &running, &waiting) != 2)
            return std::nullopt;
        return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(waiting));
    }

private:
    const int m_descriptor;
};

}

LoopMonitor::LoopMonitor(IoThreads& threads, std::function<void(const LoopStall&)> onStall)
{
    m_totals->onStall = std::move(onStall);
    for (std::size_t thread = 0; thread < threads.size(); ++thread)
        asio::co_spawn(threads.context(thread), watch(thread, m_totals), asio::detached);
}

auto LoopMonitor::watch(std::size_t thread, std::shared_ptr<Totals> totals) -> asio::awaitable<void>
{
    const SchedulerStatistics statistics;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        const auto processorBefore = processorTime();
        const auto waitingBefore = statistics.waitingTime();
        const auto expected = monotonicNow() + interval;
        timer.expires_at(expected);
        boost::system::error_code code;
        co_await timer.async_wait(awaitInto(code));
        const Duration lateness = monotonicNow() - expected;
        if (lateness < minStall)
            continue;
        const auto waitingAfter = statistics.waitingTime();
        ++totals->stalls;
        totals->stalledTime += lateness.count();
        LoopStall stall { thread, lateness, processorTime() - processorBefore, std::nullopt };
        if (waitingBefore && waitingAfter)
            stall.waitingTime = *waitingAfter - *waitingBefore;
        totals->onStall(stall);
    }
}

auto describe(const LoopStall& stall) -> std::vector<LogField>
{
    const auto inMilliseconds = [](Duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); };
    return { { "thread", stall.thread }, { "late_ms", inMilliseconds(stall.lateness) }, { "cpu_ms", inMilliseconds(stall.processorTime) }, { "waited_ms", stall.waitingTime ? inMilliseconds(*stall.waitingTime) : -1 } };
}

}
