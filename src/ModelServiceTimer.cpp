#include "ModelService.h"

#include "AwaitToken.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Bounds the delay if the shard fails to request a wake-up that it needs.
constexpr auto maxTickInterval = std::chrono::milliseconds(100);

}

struct ModelService::Timer {
    explicit Timer(asio::io_context& context)
        : timer(context)
    {
    }

    /// Used on its I/O thread only.
    asio::steady_timer timer;
    std::atomic<bool> isStopped { false };
    /// Time at which the timer expires; protected by the lock of the service.
    TimePoint armedFor {};
};

auto ModelService::start() -> void
{
    auto& context = m_context.threads.context(m_context.threads.nextIndex());
    auto timer = std::make_shared<Timer>(context);
    m_timer = timer;
    spawnSupervised(context.get_executor(), m_context.log, "timer of " + m_name, [self = shared_from_this(), timer] { return self->runTimer(timer); });
}

auto ModelService::stop() -> void
{
    const auto timer = m_timer.lock();
    if (!timer)
        return;
    timer->isStopped = true;
    asio::post(timer->timer.get_executor(), [timer] { timer->timer.cancel(); });
}

auto ModelService::retire() -> void
{
    {
        const std::lock_guard guard(m_lock);
        m_isRetired = true;
    }
    handleEvent(DrainStarted {});
}

auto ModelService::runTimer(std::shared_ptr<Timer> timer) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (!timer->isStopped) {
        TimePoint end;
        {
            const std::lock_guard guard(m_lock);
            if (m_isRetired && m_requests.empty())
                co_return;
            const auto now = monotonicNow();
            // The tick before this iteration has handled a wake-up that is due.
            if (m_wakeAt && *m_wakeAt <= now)
                m_wakeAt.reset();
            end = m_wakeAt ? std::min(*m_wakeAt, now + maxTickInterval) : now + maxTickInterval;
            timer->armedFor = end;
        }
        timer->timer.expires_at(end);
        boost::system::error_code code;
        co_await timer->timer.async_wait(awaitInto(code));
        if (!code && !timer->isStopped)
            handleEvent(Tick {});
    }
}

/// Moves the timer forward if the shard has requested an earlier wake-up.
auto ModelService::rearmTimer() -> void
{
    const auto timer = m_timer.lock();
    if (!timer)
        return;
    {
        const std::lock_guard guard(m_lock);
        if (!m_wakeAt || *m_wakeAt >= timer->armedFor)
            return;
        timer->armedFor = *m_wakeAt;
    }
    asio::post(timer->timer.get_executor(), [timer] { timer->timer.cancel(); });
}

}
