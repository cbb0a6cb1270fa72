#include "CrashAttribution.h"

#include "CrashCopies.h"
#include "PromptPartBlocking.h"
#include "ReplicaIndex.h"
#include "RequestLifecycle.h"
#include "UndecidedCrashes.h"

#include <algorithm>
#include <utility>

namespace jayhold {

namespace {

/// All requests of a crashed engine report their failure within this time.
constexpr Duration crashFailureWindow = std::chrono::seconds(1);
/// A request crashes one replica at a time. If more than two replicas of a zone lose connections within
/// this time, the cause is another.
constexpr Duration zoneFailureWindow = std::chrono::milliseconds(100);
constexpr std::ptrdiff_t zoneFailureReplicas = 3;
/// Events that other streams sent before the crash may arrive up to this long after it.
constexpr Duration maxEventDelay = std::chrono::milliseconds(20);
/// Time in which the peer that retries first gets its copy of a request past the point of the crash, or
/// runs into the next crash.
constexpr Duration peerRetryTime = std::chrono::seconds(1);
/// Limits the harm of blaming a request by mistake.
constexpr Duration blockDuration = std::chrono::minutes(10);

/// A suspect whose prefill is not complete only holds a slot of its decode replica and cannot crash it.
auto runsIsolatedSuspect(const DecisionContext& context, const Replica& replica) -> bool
{
    const auto* suspect = replica.isolatedSuspect ? findRequest(context.state, *replica.isolatedSuspect) : nullptr;
    return suspect && (replica.role() == PoolRole::Prefill || suspect->phase == RequestPhase::Starting || suspect->phase == RequestPhase::Decoding);
}

auto isBlamedOnAnother(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> bool
{
    if (runsIsolatedSuspect(context, replica))
        return true;
    return replica.blamedAt && context.now - *replica.blamedAt <= crashFailureWindow && request.phaseStartedAt <= *replica.blamedAt;
}

auto endIsolation(DecisionContext& context, const ActiveRequest& request, OptionalReplica id) -> void
{
    auto* replica = id ? findReplica(context.state, *id) : nullptr;
    if (!replica || replica->isolatedSuspect != request.arrival.request)
        return;
    replica->isolatedSuspect.reset();
    updateIndex(context, *replica);
}

auto removeExpiredSignatures(DecisionContext& context) -> void
{
    std::erase_if(context.state.blockedSignatures, [&](const auto& blocked) { return blocked.second <= context.now; });
}

auto clearSuspects(DecisionContext& context, Replica& replica) -> void
{
    removeCrash(context.state.crashHistory, replica.description.replica);
    removePromptCrash(context.state.partCrashes, replica.description.process);
    replica.crashReportWaitUntil = TimePoint::min();
    updateIndex(context, replica);
    for (const auto id : std::exchange(replica.recentSuspects, {})) {
        auto* suspect = findRequest(context.state, id);
        if (!suspect || suspect->crashSuspicion != CrashSuspicion::Suspect)
            continue;
        suspect->crashSuspicion = CrashSuspicion::None;
        endIsolation(context, *suspect, suspect->prefill);
        endIsolation(context, *suspect, suspect->decode);
    }
}

/// Connections to several replicas of a zone that break at the same time indicate a network failure, unless their
/// processes turn out to have ended.
auto clearIfZoneDisconnected(DecisionContext& context, const Replica& replica) -> void
{
    auto& disconnected = context.state.disconnectedReplicas;
    const auto id = replica.description.replica;
    std::erase_if(disconnected, [&](const auto& entry) { return context.now - entry.second > zoneFailureWindow || entry.first == id; });
    disconnected.emplace_back(id, context.now);
    const auto sameZone = [&](const auto& entry) {
        const auto* other = findReplica(context.state, entry.first);
        return other && other->description.zone == replica.description.zone;
    };
    if (std::count_if(disconnected.begin(), disconnected.end(), sameZone) < zoneFailureReplicas)
        return;
    for (const auto& entry : disconnected) {
        if (!sameZone(entry))
            continue;
        auto& lost = *findReplica(context.state, entry.first);
        setCrashAside(context, lost);
        clearSuspects(context, lost);
    }
}

/// Reports the crash to the peers. New work for the replica waits until their reports of the same crash
/// can have arrived.
auto reportToPeers(DecisionContext& context, const ActiveRequest& request, Replica& replica) -> void
{
    context.actions.emplace_back(ReportCrash { request.arrival.signature, replica.description.replica });
    replica.crashReportWaitUntil = context.now + crashReportWait;
    updateIndex(context, replica);
}

}

auto recordCrash(DecisionContext& context, ActiveRequest& request, Replica& replica) -> void
{
    request.emittedAtCrash = request.emitted;
    recordCrashedPrompt(context, request, replica);
    if (replica.isolatedSuspect == request.arrival.request) {
        replica.blamedAt = context.now;
        request.crashSuspicion = CrashSuspicion::Confirmed;
        context.state.crashHistory.erase(request.arrival.signature);
    } else if (!isBlamedOnAnother(context, request, replica)) {
        request.crashSuspicion = CrashSuspicion::Suspect;
        if (replica.recentSuspects.empty() || context.now - replica.connectionLostAt > crashFailureWindow) {
            replica.recentSuspects.clear();
            replica.connectionLostAt = context.now;
        }
        replica.recentSuspects.push_back(request.arrival.request);
        const auto hasPeers = context.state.settings.instanceCount > 1;
        const auto id = replica.description.replica;
        addCrash(context.state.crashHistory, request.arrival.signature, id, context.now, hasPeers ? crashReportWait : Duration::zero());
        delayCopies(context, request);
        if (hasPeers)
            reportToPeers(context, request, replica);
        clearIfZoneDisconnected(context, replica);
    }
}

auto clearSuspectsIfAlive(DecisionContext& context, const ActiveRequest& request, ReplicaId id) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica)
        return;
    dropUndecidedCrashIfAlive(context, *replica, request.phaseStartedAt);
    if (replica->recentSuspects.empty())
        return;
    if (request.phaseStartedAt >= replica->connectionLostAt || context.now - replica->connectionLostAt < maxEventDelay)
        return;
    clearSuspects(context, *replica);
}

auto clearSuspectAfterProgress(DecisionContext& context, ActiveRequest& request, bool isFinished) -> void
{
    if (request.crashSuspicion != CrashSuspicion::Suspect || (!isFinished && !isPastCrash(context, request)))
        return;
    request.crashSuspicion = CrashSuspicion::None;
    context.state.crashHistory.erase(request.arrival.signature);
    endIsolation(context, request, request.decode);
}

auto reportCrashSignature(DecisionContext& context, std::uint64_t signature) -> void
{
    context.actions.emplace_back(ReportCrashSignature { signature });
    if (signature)
        context.actions.emplace_back(UpdateBlockedPart { signature, BlockedPartChange::Add });
}

auto blockSignature(DecisionContext& context, std::uint64_t signature) -> void
{
    // Zero stands for a request without a signature.
    if (!signature)
        return;
    removeExpiredSignatures(context);
    context.state.blockedSignatures[signature] = context.now + blockDuration;
    std::vector<RequestId> matching;
    for (const auto& [id, request] : context.state.requests) {
        if (request.arrival.signature == signature)
            matching.push_back(id);
    }
    for (const auto id : matching)
        refuse(context, *findRequest(context.state, id), RefusalReason::CrashSuspect);
}

auto recordPeerCrash(DecisionContext& context, std::uint64_t signature, Replica& replica, bool peerRetriesFirst) -> void
{
    const auto ranHere = std::ranges::any_of(replica.recentSuspects, [&](RequestId id) {
        const auto* suspect = findRequest(context.state, id);
        return suspect && suspect->arrival.signature == signature;
    });
    // A copy that has not run into the crash waits for the peer's copy, which runs first in any case.
    const auto waitsForPeer = peerRetriesFirst || !ranHere;
    addCrash(context.state.crashHistory, signature, replica.description.replica, context.now, waitsForPeer ? peerRetryTime : crashReportWait);
    moveWaitingCopies(context, signature);
    clearIfZoneDisconnected(context, replica);
}

auto awaitsCrashReports(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    return isStartDelayed(context.state.crashHistory, request.arrival.signature, context.now) || awaitsCopy(context, request);
}

auto blockBlamedSignatures(DecisionContext& context) -> void
{
    for (const auto signature : takeBlamedSignatures(context.state.crashHistory, context.now)) {
        reportCrashSignature(context, signature);
        blockSignature(context, signature);
    }
}

auto isBlocked(const DecisionContext& context, std::uint64_t signature) -> bool
{
    const auto blocked = context.state.blockedSignatures.find(signature);
    return blocked != context.state.blockedSignatures.end() && blocked->second > context.now;
}

}
