#include "LoadRunner.h"

#include "CallRunner.h"
#include "CoroutineSleep.h"
#include "IoThreads.h"
#include "LogLine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>

#include <random>

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr auto slotPollInterval = std::chrono::milliseconds(1);

/// Generates the share of the load of one thread. Its members are used on that thread only, except
/// for the settings, report and counters that all workers share.
struct LoadWorker {
    const LoadSettings& settings;
    LoadReport& report;
    HttpClient& client;
    std::atomic<std::size_t>& nextEntry;
    std::atomic<std::uint64_t>& nextNumber;
    std::mt19937_64 random;
    std::int64_t running = 0;
};

/// Refusals are expected under overload, unless the refused calls are retried.
auto isUnexpected(CallOutcome outcome, bool retriesRefusals) -> bool
{
    if (outcome == CallOutcome::NotRun)
        return retriesRefusals;
    return outcome != CallOutcome::Whole && outcome != CallOutcome::Cancelled;
}

auto logUnexpected(const LoadSettings& settings, const CallPlan& plan, const CallResult& result) -> void
{
    if (!isUnexpected(result.outcome, settings.retriesRefusals))
        return;
    const HybridTime now { std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count(), 0 };
    const std::vector<LogField> fields { { "kind", plan.item->name }, { "attempts", result.attempts }, { "detail", result.detail } };
    writeLogLine(LogLevel::Warning, formatLogLine(now, "bad_answer", fields));
}

auto startCall(LoadWorker& worker, CallPlan plan) -> asio::awaitable<void>
{
    auto copy = plan;
    const auto result = co_await runCall(worker.client, worker.settings, std::move(copy), worker.nextEntry);
    worker.report.add(*plan.item, result);
    logUnexpected(worker.settings, plan, result);
    --worker.running;
}

auto nextPlan(LoadWorker& worker) -> CallPlan
{
    std::vector<double> weights;
    for (const auto& item : worker.settings.mix)
        weights.push_back(item.weight);
    std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
    const auto& item = worker.settings.mix[choice(worker.random)];
    const auto isCancelled = std::bernoulli_distribution(item.cancelShare)(worker.random);
    return planCall(item, worker.settings.seed, worker.nextNumber.fetch_add(1), isCancelled);
}

auto runWorker(LoadWorker& worker) -> asio::awaitable<void>
{
    const auto executor = co_await asio::this_coro::executor;
    const auto threads = static_cast<double>(worker.settings.threads);
    const std::chrono::duration<double> interval(threads / worker.settings.ratePerSecond);
    const auto slots = std::max<std::int64_t>(1, worker.settings.concurrency / worker.settings.threads);
    const auto start = monotonicNow();
    const auto end = start + worker.settings.duration;
    for (std::int64_t number = 0;; ++number) {
        const auto due = start + std::chrono::duration_cast<Duration>(interval * number);
        if (due >= end)
            break;
        co_await sleepUntil(due);
        while (worker.running >= slots && monotonicNow() < end)
            co_await sleepFor(slotPollInterval);
        if (monotonicNow() >= end)
            break;
        ++worker.running;
        asio::co_spawn(executor, startCall(worker, nextPlan(worker)), asio::detached);
    }
    while (worker.running > 0)
        co_await sleepFor(slotPollInterval);
}

}

auto runLoad(const LoadSettings& settings, LoadReport& report) -> Duration
{
    IoThreads threads(static_cast<std::size_t>(settings.threads));
    std::atomic<std::size_t> nextEntry { 0 };
    std::atomic<std::uint64_t> nextNumber { 0 };
    std::vector<std::unique_ptr<LoadWorker>> workers;
    std::vector<std::future<void>> finished;
    const auto start = monotonicNow();
    for (std::size_t index = 0; index < threads.size(); ++index) {
        workers.push_back(std::make_unique<LoadWorker>(LoadWorker { settings, report, threads.client(index), nextEntry, nextNumber, std::mt19937_64(settings.seed + index) }));
        finished.push_back(asio::co_spawn(threads.context(index), runWorker(*workers.back()), asio::use_future));
    }
    for (auto& future : finished)
        future.get();
    const auto elapsed = monotonicNow() - start;
    threads.stop();
    return elapsed;
}

}
