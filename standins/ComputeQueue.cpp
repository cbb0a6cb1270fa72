#include "ComputeQueue.h"

#include "CoroutineSleep.h"

#include <algorithm>

namespace jayhold::standin {

/// Grants the compute to the next waiter when the current use ends, including when the coroutine is
/// destroyed.
class ComputeQueue::ComputeGuard {
public:
    explicit ComputeGuard(ComputeQueue& queue)
        : m_queue(queue)
    {
    }
    ~ComputeGuard() { m_queue.grantNext(); }
    ComputeGuard(const ComputeGuard&) = delete;
    auto operator=(const ComputeGuard&) -> ComputeGuard& = delete;

private:
    ComputeQueue& m_queue;
};

auto ComputeQueue::grantNext() -> void
{
    // max_element returns the first of equal elements, which has waited longest.
    const auto next = std::ranges::max_element(m_waiters, {}, &Waiter::priority);
    m_isBusy = next != m_waiters.end();
    if (!m_isBusy)
        return;
    next->isGranted = true;
    next->timer.cancel();
}

auto ComputeQueue::use(EngineRun& run, Duration time, std::int64_t priority) -> boost::asio::awaitable<Duration>
{
    boost::system::error_code ignored;
    const auto executor = co_await boost::asio::this_coro::executor;
    if (m_isBusy) {
        m_waiters.push_back({ priority, boost::asio::steady_timer(executor, boost::asio::steady_timer::time_point::max()) });
        const auto self = std::prev(m_waiters.end());
        run.interrupt = [self] { self->timer.cancel(); };
        co_await self->timer.async_wait(awaitInto(ignored));
        run.interrupt = nullptr;
        const auto isGranted = self->isGranted;
        m_waiters.erase(self);
        if (!isGranted)
            co_return Duration(0);
    }
    m_isBusy = true;
    const ComputeGuard guard(*this);
    if (run.isCancelled)
        co_return Duration(0);
    const auto start = monotonicNow();
    boost::asio::steady_timer timer(executor, start + time);
    run.interrupt = [&timer] { timer.cancel(); };
    co_await timer.async_wait(awaitInto(ignored));
    run.interrupt = nullptr;
    co_return run.isCancelled ? std::min(time, monotonicNow() - start) : time;
}

}
