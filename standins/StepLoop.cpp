#include "StepLoop.h"

#include "CoroutineSleep.h"

namespace jayhold::standin {

namespace {

/// A full batch of 20 streams makes a step 40% longer than a single stream does.
constexpr double gapGrowthPerStream = 0.021;
constexpr auto idlePollInterval = std::chrono::milliseconds(1);

}

auto StepLoop::waitForTokens(Stream& stream, EngineRun& run, std::int64_t sentTokens) -> boost::asio::awaitable<void>
{
    boost::system::error_code ignored;
    while (stream.emitted <= sentTokens && !run.isCancelled) {
        stream.wake.expires_at(boost::asio::steady_timer::time_point::max());
        run.interrupt = [&stream] { stream.wake.cancel(); };
        co_await stream.wake.async_wait(awaitInto(ignored));
        run.interrupt = nullptr;
    }
}

auto StepLoop::stepTime() const -> Duration
{
    const auto others = static_cast<double>(m_streams.empty() ? 0 : m_streams.size() - 1);
    return std::chrono::duration_cast<Duration>(m_gap * (1 + gapGrowthPerStream * others));
}

auto StepLoop::step() -> void
{
    std::erase_if(m_streams, [](const auto& item) {
        const auto stream = item.lock();
        if (!stream)
            return true;
        ++stream->emitted;
        stream->wake.cancel();
        return stream->emitted >= stream->total;
    });
}

auto StepLoop::run() -> boost::asio::awaitable<void>
{
    auto next = monotonicNow();
    while (true) {
        if (m_streams.empty() || m_isFrozen) {
            co_await sleepFor(idlePollInterval);
            next = monotonicNow();
            continue;
        }
        next = std::max(next + stepTime(), monotonicNow());
        co_await sleepUntil(next);
        if (!m_isFrozen)
            step();
    }
}

}
