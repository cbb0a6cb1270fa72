#include "StreamChecks.h"

#include <algorithm>
#include <map>
#include <set>

namespace jayhold::soak {

namespace {

constexpr std::size_t minTakeUps = 12;
constexpr std::size_t minServingEngines = 2;
constexpr double minShareOfNewStreams = 0.5;

/// @return the identifier of the request that brought the first event of the stream.
auto streamOf(const CallRecord& call) -> const std::string&
{
    return call.resumes.empty() ? call.request : call.resumes;
}

auto describe(const StreamEvent& event) -> std::string
{
    return "event " + std::to_string(event.index) + " of version " + (event.version.empty() ? "unknown" : event.version);
}

/// The faults of a run, and the versions of its engines.
struct Disturbances {
    std::span<const VersionPeriod> versions;
    std::span<const FaultPeriod> faults;
    const FleetSize& size;
};

/// @return whether enough undisturbed engines of the version serve during the request.
auto hasEngines(const CallRecord& call, const std::string& version, const Disturbances& disturbances) -> bool
{
    const auto knownSince = call.sentAt - SoakFleet::maxDeregistrationDelay;
    const auto serves = [&](const VersionPeriod& period) {
        const auto isDisturbed = [&](const FaultPeriod& fault) { return concernsBackend(fault.fault, period.backendIndex) && isActive(fault, knownSince, call.endedAt); };
        return period.version == version && period.from <= knownSince && period.until >= call.endedAt && std::ranges::none_of(disturbances.faults, isDisturbed);
    };
    return static_cast<std::size_t>(std::ranges::count_if(disturbances.versions, serves)) >= minServingEngines;
}

/// @return the versions of the streams, by the request that brought the first event.
auto versionsOfStreams(std::span<const CallRecord> calls) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> versions;
    for (const auto& call : calls) {
        if (!call.events.empty())
            versions.emplace(streamOf(call), call.events.front().version);
    }
    return versions;
}

}

auto checkStreamOrder(std::span<const CallRecord> calls) -> std::vector<Violation>
{
    std::vector<Violation> violations;
    std::map<std::string, StreamEvent> lastEvents;
    for (const auto& call : calls) {
        for (const auto& event : call.events) {
            const auto [last, isFirst] = lastEvents.emplace(streamOf(call), event);
            const auto expected = isFirst ? call.lastEvent + 1 : last->second.index + 1;
            const auto isInOrder = event.index == expected;
            if (!isInOrder)
                violations.push_back({ "each piece of a stream arrives once", call.request, "stream " + streamOf(call) + ": " + describe(event) + " instead of event " + std::to_string(expected) });
            else if (event.version != last->second.version)
                violations.push_back({ "a stream has events of one software version", call.request, "stream " + streamOf(call) + ": " + describe(event) + " after " + describe(last->second) });
            last->second = event;
            if (!isInOrder)
                break;
        }
    }
    return violations;
}

auto checkTakeUps(std::span<const CallRecord> calls, std::span<const VersionPeriod> versions, std::span<const FaultPeriod> faults, const FleetSize& size) -> std::vector<Violation>
{
    const Disturbances disturbances { versions, faults, size };
    const auto streamVersions = versionsOfStreams(calls);
    StreamShare goneOn;
    StreamShare begun;
    std::set<std::pair<std::string, int>> counted;
    for (const auto& call : calls) {
        if (call.kind != CallKind::ResumableStream || !isCalm(call, faults, size))
            continue;
        if (call.resumes.empty())
            begun.count(call);
        else if (hasEngines(call, streamVersions.at(call.resumes), disturbances) && counted.emplace(call.resumes, call.lastEvent).second)
            goneOn.count(call);
    }
    if (goneOn.all < minTakeUps || goneOn.value() >= minShareOfNewStreams * begun.value())
        return {};
    return { { "streams that are taken up go on", "", goneOn.text() + ", while " + begun.text() + " new streams begin" } };
}

}
