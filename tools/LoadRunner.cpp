#include "LoadRunner.h"

#include "CallRunner.h"
#include "FaultPause.h"
#include "IoThreads.h"
#include "LogLine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>

#include <random>

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr auto slotPoll = std::chrono::milliseconds(1);

/// One thread's part of the load; everything in it is used on that thread, except for the
/// counters that all parts share.
struct LoadPart {
    const LoadSettings& settings;
    LoadReport& report;
    HttpClient& client;
    std::atomic<std::size_t>& nextEntry;
    std::atomic<std::uint64_t>& nextNumber;
    std::mt19937_64 random;
    std::int64_t running = 0;
};

/// Refusals are expected under overload, but not where they are sent again.
auto isBad(CallOutcome outcome, bool retriesRefusals) -> bool
{
    if (outcome == CallOutcome::NotRun)
        return retriesRefusals;
    return outcome != CallOutcome::Whole && outcome != CallOutcome::Cancelled;
}

auto logBad(const LoadSettings& settings, const CallPlan& plan, const CallResult& result) -> void
{
    if (!isBad(result.outcome, settings.retriesRefusals))
        return;
    const HybridTime now { std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count(), 0 };
    const std::vector<LogField> fields { { "kind", plan.item->name }, { "attempts", result.attempts }, { "detail", result.detail } };
    writeLogLine(LogLevel::Warning, formatLogLine(now, "bad_answer", fields));
}

auto startCall(LoadPart& part, CallPlan plan) -> asio::awaitable<void>
{
    auto copy = plan;
    const auto result = co_await runCall(part.client, part.settings, std::move(copy), part.nextEntry);
    part.report.add(*plan.item, result);
    logBad(part.settings, plan, result);
    --part.running;
}

auto nextPlan(LoadPart& part) -> CallPlan
{
    std::vector<double> weights;
    for (const auto& item : part.settings.mix)
        weights.push_back(item.weight);
    std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
    const auto& item = part.settings.mix[choice(part.random)];
    const auto isCancelled = std::bernoulli_distribution(item.cancelShare)(part.random);
    return planCall(item, part.settings.seed, part.nextNumber.fetch_add(1), isCancelled);
}

auto runPart(LoadPart& part) -> asio::awaitable<void>
{
    const auto executor = co_await asio::this_coro::executor;
    const auto threads = static_cast<double>(part.settings.threads);
    const std::chrono::duration<double> interval(threads / part.settings.ratePerSecond);
    const auto slots = std::max<std::int64_t>(1, part.settings.concurrency / part.settings.threads);
    const auto start = monotonicNow();
    const auto end = start + part.settings.duration;
    for (std::int64_t number = 0;; ++number) {
        const auto due = start + std::chrono::duration_cast<Duration>(interval * number);
        if (due >= end)
            break;
        co_await pauseUntil(due);
        while (part.running >= slots && monotonicNow() < end)
            co_await pauseFor(slotPoll);
        if (monotonicNow() >= end)
            break;
        ++part.running;
        asio::co_spawn(executor, startCall(part, nextPlan(part)), asio::detached);
    }
    while (part.running > 0)
        co_await pauseFor(slotPoll);
}

}

auto runLoad(const LoadSettings& settings, LoadReport& report) -> Duration
{
    IoThreads threads(static_cast<std::size_t>(settings.threads));
    std::atomic<std::size_t> nextEntry { 0 };
    std::atomic<std::uint64_t> nextNumber { 0 };
    std::vector<std::unique_ptr<LoadPart>> parts;
    std::vector<std::future<void>> ends;
    const auto start = monotonicNow();
    for (std::size_t index = 0; index < threads.size(); ++index) {
        parts.push_back(std::make_unique<LoadPart>(LoadPart { settings, report, threads.client(index), nextEntry, nextNumber, std::mt19937_64(settings.seed + index) }));
        ends.push_back(asio::co_spawn(threads.context(index), runPart(*parts.back()), asio::use_future));
    }
    for (auto& end : ends)
        end.get();
    const auto elapsed = monotonicNow() - start;
    threads.stop();
    return elapsed;
}

}
