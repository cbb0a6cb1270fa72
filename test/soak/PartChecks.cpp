#include "PartChecks.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace jayhold::soak {

namespace {

/// Number of crashes after which the part must be known.
constexpr std::size_t boundCrashes = 5;
constexpr std::size_t maxRequestsAfterBound = 3;
/// The same for a plain call.
constexpr std::size_t boundCallCrashes = 3;
/// Time after the bound from which requests without the part must be served again.
constexpr Duration recoveryTime = std::chrono::seconds(6);
constexpr std::size_t minCompared = 20;
constexpr double minShareOfUndisturbed = 0.5;

/// @return whether the fault delays or undoes writes to the store at some time between two times.
auto disturbsWrites(const FaultPeriod& fault, TimePoint from, TimePoint until) -> bool
{
    return isStoreFault(fault.fault.kind) && fault.fault.kind != FaultKind::StoreHistoryCompacted && isActive(fault, from, until);
}

/// @return whether an entry about a crash could be written to the store, and stay there, before the instances were killed.
auto hadTimeToStore(TimePoint crashedAt, TimePoint killedAt, std::span<const FaultPeriod> faults) -> bool
{
    const auto isCalmFrom = [&](TimePoint from) {
        return from >= crashedAt && from + calmTime <= killedAt && std::ranges::none_of(faults, [&](const FaultPeriod& fault) { return disturbsWrites(fault, from, from + calmTime); });
    };
    const auto isCalmAfter = [&](const FaultPeriod& fault) { return fault.until < killedAt && isCalmFrom(fault.until + faultTolerance + Duration(1)); };
    return isCalmFrom(crashedAt) || std::ranges::any_of(faults, isCalmAfter);
}

/// @param isListed the member that says whether the store listed the cause of the crash.
/// @return whether all instances were killed after the crash, while the store did not list the cause and, because of its
/// disturbances since the crash, could not list it.
auto isForgotten(const BackendRun& crash, std::span<const FaultPeriod> faults, bool FaultPeriod::*isListed) -> bool
{
    return std::ranges::any_of(faults, [&](const FaultPeriod& kill) {
        if (kill.fault.kind != FaultKind::KillAllEntries || kill.*isListed || crash.at > kill.until)
            return false;
        const auto isDisturbed = std::ranges::any_of(faults, [&](const FaultPeriod& fault) { return disturbsWrites(fault, crash.at, kill.until); });
        return isDisturbed && !hadTimeToStore(crash.at, kill.from, faults);
    });
}

/// @return how often the crashing requests, first or repeated ones, reached backend servers after a time.
auto countRequestsAfter(TimePoint bound, bool (*isCrashing)(const CallRecord&), std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::size_t
{
    std::map<std::string_view, std::size_t> entriesOfRequests;
    for (const auto& call : calls) {
        if (isCrashing(call))
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
    std::vector<BackendRun> crashes;
    std::ranges::copy_if(allCrashes, std::back_inserter(crashes), [&](const BackendRun& crash) { return crash.backendIndex >= firstEngine(size) && !isForgotten(crash, faults, &FaultPeriod::isPartListed); });
    if (crashes.empty())
        return {};
    std::vector<Violation> violations;
    const auto lastCrash = crashes[std::min(boundCrashes, crashes.size()) - 1].at;
    if (crashes.size() >= boundCrashes) {
        const auto count = countRequestsAfter(lastCrash + calmTime, hasCrashingPart, calls, runs, faults, size);
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

auto checkCrashingCalls(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const BackendRun> allCrashes, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>
{
    std::vector<BackendRun> crashes;
    std::ranges::copy_if(allCrashes, std::back_inserter(crashes), [&](const BackendRun& crash) { return crash.backendIndex < firstEngine(size) && !isForgotten(crash, faults, &FaultPeriod::isCallListed); });
    if (crashes.size() < boundCallCrashes)
        return {};
    const auto count = countRequestsAfter(crashes[boundCallCrashes - 1].at + calmTime, isCrashingCall, calls, runs, faults, size);
    if (count <= maxRequestsAfterBound)
        return {};
    return { { "a plain call that crashes servers reaches few of them", "", std::to_string(count) + " after " + std::to_string(crashes.size()) + " crashes" } };
}

}
