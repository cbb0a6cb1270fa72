#include "SoakChecks.h"

#include <map>

namespace jayhold::soak {

namespace {

/// The retry budget in the settings of the fleet's entry instances.
constexpr double retryBudgetRatio = 0.2;
constexpr double retryBudgetExtra = 50;

auto allowsRetry(CallKind kind) -> bool
{
    return kind == CallKind::IdempotentGet || kind == CallKind::ResumableStream;
}

/// @return whether the status guarantees that the request has not run and never will.
auto guaranteesNotRun(unsigned status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

struct RunCounts {
    int runs = 0;
    int prefills = 0;
};

auto countRuns(std::span<const BackendRun> runs) -> std::map<std::string, RunCounts, std::less<>>
{
    std::map<std::string, RunCounts, std::less<>> counts;
    for (const auto& run : runs)
        ++(run.isPrefill ? counts[run.request].prefills : counts[run.request].runs);
    return counts;
}

auto checkCall(const CallRecord& call, const RunCounts& count, const FaultFreePeriod& faultFreePeriod, std::vector<Violation>& violations) -> void
{
    const auto runs = std::to_string(count.runs) + " runs, status " + std::to_string(call.status);
    if (!allowsRetry(call.kind) && count.runs > 1)
        violations.push_back({ "a request that may run once runs once", call.request, runs });
    if (!allowsRetry(call.kind) && guaranteesNotRun(call.status) && count.runs > 0)
        violations.push_back({ "a request refused as not run has not run", call.request, runs });
    if (call.status / 100 == 2 && count.runs == 0)
        violations.push_back({ "a success comes from a backend server", call.request, runs });
    if (!call.responseError.empty())
        violations.push_back({ "an answer that looks complete is right", call.request, call.responseError });
    const auto isFaultFree = call.sentAt >= faultFreePeriod.from && call.endedAt <= faultFreePeriod.until;
    if (isFaultFree && call.status == 0 && call.wasConnected && count.runs > 0)
        violations.push_back({ "planned shutdowns cut no request", call.request, runs });
}

}

auto checkCalls(std::span<const CallRecord> calls, std::span<const BackendRun> runs, const FaultFreePeriod& faultFreePeriod) -> std::vector<Violation>
{
    std::vector<Violation> violations;
    const auto counts = countRuns(runs);
    std::map<bool, double> requests;
    std::map<bool, double> retries;
    for (const auto& call : calls) {
        const auto found = counts.find(call.request);
        const auto count = found == counts.end() ? RunCounts {} : found->second;
        checkCall(call, count, faultFreePeriod, violations);
        const auto isModel = call.kind >= CallKind::ResumableStream;
        requests[isModel] += 1;
        // The first prefill call of a request, which only processes the prompt, is not a retry.
        retries[isModel] += std::max(count.runs - 1, 0) + std::max(count.prefills - 1, 0);
    }
    for (const auto& [isModel, count] : retries) {
        if (count > retryBudgetRatio * requests[isModel] + retryBudgetExtra)
            violations.push_back({ "retries stay within the retry budget", "", std::to_string(count) + " retries of " + std::to_string(requests[isModel]) + " requests" });
    }
    return violations;
}

auto checkLeaving(std::span<const BackendRun> runs, const std::string& backend, TimePoint allowedUntil, TimePoint until) -> std::vector<Violation>
{
    for (const auto& run : runs) {
        if (run.backend == backend && run.at > allowedUntil && run.at < until)
            return { { "a leaving backend server gets no new work", run.request, backend } };
    }
    return {};
}

}
