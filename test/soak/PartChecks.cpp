#include "PartChecks.h"

#include <algorithm>
#include <map>

namespace jayhold::soak {

namespace {

/// Number of crashes after which the part must be known.
constexpr std::size_t boundCrashes = 5;
constexpr std::size_t maxRequestsAfterBound = 3;
/// Time after the bound from which requests without the part must be served again.
constexpr Duration recoveryTime = std::chrono::seconds(6);
constexpr std::size_t minCompared = 20;
constexpr double minShareOfUndisturbed = 0.5;

/// @return when all instances last lost what they knew while the store was disturbed. The store then may not have had it:
/// a restore undoes writes, and an outage delays them.
auto lastLossOfKnowledge(std::span<const FaultPeriod> faults) -> TimePoint
{
    auto last = TimePoint::min();
    for (const auto& kill : faults) {
        const auto isStoreDisturbed = std::ranges::any_of(faults, [&](const FaultPeriod& fault) { return isStoreFault(fault.fault.kind) && isActive(fault, kill.from - calmTime, kill.until); });
        if (kill.fault.kind == FaultKind::KillAllEntries && isStoreDisturbed)
            last = std::max(last, kill.until);
    }
    return last;
}

/// @return how often requests with the part, first or repeated ones, reached engines after a time.
auto countRequestsAfter(TimePoint bound, std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::size_t
{
    std::map<std::string_view, std::size_t> entriesOfRequests;
    for (const auto& call : calls) {
        if (hasCrashingPart(call))
            entriesOfRequests.emplace(call.request, call.entry);
    }
    // The prefill and the decode of one attempt are one request.
    std::map<std::string_view, std::size_t> prefills;
    std::map<std::string_view, std::size_t> decodes;
    for (const auto& run : runs) {
        const auto request = entriesOfRequests.find(run.request);
        if (request == entriesOfRequests.end() || run.at <= bound)
            continue;
        const auto isOutOfTouch = [&](const FaultPeriod& fault) { return concernsStoreOrEntry(fault.fault, request->second, size) && isActive(fault, run.at - calmTime, run.at); };
        if (std::ranges::none_of(faults, isOutOfTouch))
            ++(run.isPrefill ? prefills : decodes)[run.request];
    }
    std::size_t count = 0;
    for (const auto& [request, entry] : entriesOfRequests)
        count += std::max(prefills[request], decodes[request]);
    return count;
}

auto wasEngineDisturbed(const CallRecord& call, std::span<const FaultPeriod> faults, const FleetSize& size) -> bool
{
    return std::ranges::any_of(faults, [&](const FaultPeriod& fault) { return fault.fault.kind >= FaultKind::FreezeBackend && fault.fault.target >= firstEngine(size) && concernsBackend(fault.fault, fault.fault.target) && isActive(fault, call.sentAt - calmTime, call.endedAt); });
}

}

auto checkCrashingParts(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const BackendRun> allCrashes, TimePoint crashingUntil, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>
{
    const auto crashes = allCrashes.subspan(static_cast<std::size_t>(std::ranges::upper_bound(allCrashes, lastLossOfKnowledge(faults), {}, &BackendRun::at) - allCrashes.begin()));
    if (crashes.empty())
        return {};
    std::vector<Violation> violations;
    const auto lastCrash = crashes[std::min(boundCrashes, crashes.size()) - 1].at;
    if (crashes.size() >= boundCrashes) {
        const auto count = countRequestsAfter(lastCrash + calmTime, calls, runs, faults, size);
        if (count > maxRequestsAfterBound)
            violations.push_back({ "few requests with a part that crashes engines reach engines", "", std::to_string(count) + " after " + std::to_string(crashes.size()) + " crashes" });
    }
    StreamShare after;
    StreamShare undisturbed;
    for (const auto& call : calls) {
        if (!sharesFirstPart(call) || !call.resumes.empty() || !isCalm(call, faults, size))
            continue;
        if (call.sentAt >= lastCrash + recoveryTime && call.endedAt < crashingUntil)
            after.count(call);
        else if (!wasEngineDisturbed(call, faults, size))
            undisturbed.count(call);
    }
    if (after.all >= minCompared && undisturbed.all >= minCompared && after.value() < minShareOfUndisturbed * undisturbed.value())
        violations.push_back({ "requests that share parts with those that crash engines are served", "", after.text() + " begin, and " + undisturbed.text() + " when undisturbed" });
    return violations;
}

}
