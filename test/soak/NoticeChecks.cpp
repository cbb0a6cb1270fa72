#include "NoticeChecks.h"

#include <algorithm>
#include <map>

namespace jayhold::soak {

namespace {

/// Time after an answer with a notice in which its instance may still send requests to the server.
constexpr Duration leavingNoticeDelay = std::chrono::seconds(2);
constexpr Duration retryNoticeDelay = std::chrono::milliseconds(500);
constexpr std::size_t maxTrialRequests = 2;

/// A process of a backend server, and the entry instance whose requests it got.
struct Pair {
    std::string process;
    std::size_t entry = 0;
    auto operator<=>(const Pair&) const = default;
};

struct Arrival {
    const CallRecord* call = nullptr;
    const BackendRun* run = nullptr;
};

/// @return the requests of callers by server process and instance, in the order of their arrival.
auto arrivalsByPair(std::span<const CallRecord> calls, std::span<const BackendRun> runs) -> std::map<Pair, std::vector<Arrival>>
{
    std::map<std::string_view, const CallRecord*> callsById;
    for (const auto& call : calls)
        callsById.emplace(call.request, &call);
    std::map<Pair, std::vector<Arrival>> arrivals;
    for (const auto& run : runs) {
        if (const auto found = callsById.find(run.request); found != callsById.end())
            arrivals[{ run.process, found->second->entry }].push_back({ found->second, &run });
    }
    for (auto& [pair, list] : arrivals)
        std::ranges::stable_sort(list, {}, [](const Arrival& arrival) { return arrival.run->at; });
    return arrivals;
}

auto isRestart(FaultKind kind) -> bool
{
    return kind == FaultKind::KillEntry || kind == FaultKind::ReplaceEntry || kind == FaultKind::KillAllEntries;
}

auto wasRestarted(std::span<const FaultPeriod> faults, std::size_t entry, TimePoint from, TimePoint until) -> bool
{
    return std::ranges::any_of(faults, [&](const FaultPeriod& fault) { return isRestart(fault.fault.kind) && concernsEntry(fault.fault, entry) && isActive(fault, from, until); });
}

/// @return whether the instance has passed on the earlier answer, which says that the server is leaving, long enough
/// before the later request.
auto isKnownBy(const Arrival& earlier, const Arrival& later, std::size_t entry, std::span<const FaultPeriod> faults) -> bool
{
    return earlier.run->isLeaving && earlier.call->answeredBy == earlier.run->backend && later.call->sentAt > earlier.call->endedAt + leavingNoticeDelay
        && !wasRestarted(faults, entry, earlier.call->endedAt, later.run->at);
}

/// @return whether the instance was restarted or frozen, or its connection to the server was cut or held back.
auto wasDisturbed(std::span<const FaultPeriod> faults, std::size_t entry, std::size_t backend, TimePoint from, TimePoint until) -> bool
{
    return std::ranges::any_of(faults, [&](const FaultPeriod& fault) {
        const auto kind = fault.fault.kind;
        const auto isLinkFault = kind >= FaultKind::CutLink && kind < FaultKind::SlowLink && fault.fault.target == backend;
        return (isLinkFault || (kind != FaultKind::ReloadSettings && concernsEntry(fault.fault, entry))) && isActive(fault, from, until);
    });
}

}

auto checkLeavingNotices(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const FaultPeriod> faults) -> std::vector<Violation>
{
    std::vector<Violation> violations;
    for (const auto& [pair, arrivals] : arrivalsByPair(calls, runs)) {
        const auto entry = pair.entry;
        for (const auto& arrival : arrivals) {
            const auto& [call, run] = arrival;
            if (std::ranges::none_of(arrivals, [&](const Arrival& earlier) { return isKnownBy(earlier, arrival, entry, faults); }))
                continue;
            violations.push_back({ "a backend server that says it is leaving gets no new work", call->request, run->backend + " from edge-" + std::to_string(entry) });
            break;
        }
    }
    return violations;
}

auto checkRetryDelays(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const FaultPeriod> faults) -> std::vector<Violation>
{
    std::vector<Violation> violations;
    for (const auto& [pair, arrivals] : arrivalsByPair(calls, runs)) {
        for (const auto& rejected : arrivals) {
            const auto from = rejected.run->at;
            const auto until = from + rejected.run->retryDelay;
            const auto count = std::ranges::count_if(arrivals, [&](const Arrival& arrival) { return arrival.run->at >= from + retryNoticeDelay && arrival.run->at < until; });
            if (static_cast<std::size_t>(count) <= maxTrialRequests || wasDisturbed(faults, pair.entry, rejected.run->backendIndex, from, until))
                continue;
            violations.push_back({ "a backend server that turns requests away gets few until its time is over", rejected.call->request, std::to_string(count) + " requests at " + rejected.run->backend + " from edge-" + std::to_string(pair.entry) });
            break;
        }
    }
    return violations;
}

}
