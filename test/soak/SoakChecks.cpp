#include "SoakChecks.h"

#include <map>

namespace jayhold::soak {

namespace {

/// From the settings that the fleet's entry instances get.
constexpr double budgetRatio = 0.2;
constexpr double budgetExtra = 50;

auto isRepeatable(CallKind kind) -> bool
{
    return kind == CallKind::Read || kind == CallKind::ResumedStream;
}

/// @return whether the status promises that the request has not run and never will.
auto promisesNotRun(unsigned status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

struct RunCount {
    int runs = 0;
    int prefills = 0;
};

auto countRuns(std::span<const BackendRun> runs) -> std::map<std::string, RunCount, std::less<>>
{
    std::map<std::string, RunCount, std::less<>> counts;
    for (const auto& run : runs)
        ++(run.isPrefill ? counts[run.request].prefills : counts[run.request].runs);
    return counts;
}

auto checkCall(const CallRecord& call, const RunCount& count, const CalmSpan& calm, std::vector<BrokenPromise>& broken) -> void
{
    const auto runs = std::to_string(count.runs) + " runs, status " + std::to_string(call.status);
    if (!isRepeatable(call.kind) && count.runs > 1)
        broken.push_back({ "a request that may run once runs once", call.request, runs });
    if (!isRepeatable(call.kind) && promisesNotRun(call.status) && count.runs > 0)
        broken.push_back({ "a request refused as not run has not run", call.request, runs });
    if (call.status / 100 == 2 && count.runs == 0)
        broken.push_back({ "a success comes from a backend server", call.request, runs });
    if (!call.fault.empty())
        broken.push_back({ "an answer that looks complete is right", call.request, call.fault });
    const auto isCalm = call.sentAt >= calm.from && call.endedAt <= calm.until;
    if (isCalm && call.status == 0 && call.wasConnected && count.runs > 0)
        broken.push_back({ "planned shutdowns cut no request", call.request, runs });
}

}

auto checkCalls(std::span<const CallRecord> calls, std::span<const BackendRun> runs, const CalmSpan& calm) -> std::vector<BrokenPromise>
{
    std::vector<BrokenPromise> broken;
    const auto counts = countRuns(runs);
    std::map<bool, double> requests;
    std::map<bool, double> repeats;
    for (const auto& call : calls) {
        const auto found = counts.find(call.request);
        const auto count = found == counts.end() ? RunCount {} : found->second;
        checkCall(call, count, calm, broken);
        const auto isModel = call.kind >= CallKind::ResumedStream;
        requests[isModel] += 1;
        // The first call that only has the prompt read is not a repeat.
        repeats[isModel] += std::max(count.runs - 1, 0) + std::max(count.prefills - 1, 0);
    }
    for (const auto& [isModel, count] : repeats) {
        if (count > budgetRatio * requests[isModel] + budgetExtra)
            broken.push_back({ "repeats stay within the budget", "", std::to_string(count) + " repeats of " + std::to_string(requests[isModel]) + " requests" });
    }
    return broken;
}

auto checkLeaving(std::span<const BackendRun> runs, const std::string& backend, TimePoint allowedUntil, TimePoint until) -> std::vector<BrokenPromise>
{
    for (const auto& run : runs) {
        if (run.backend == backend && run.at > allowedUntil && run.at < until)
            return { { "a leaving backend server gets no new work", run.request, backend } };
    }
    return {};
}

}
