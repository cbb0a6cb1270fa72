#include "CrashAttribution.h"

#include "ReplicaIndex.h"
#include "RequestLifecycle.h"

#include <algorithm>
#include <utility>

namespace jayhold {

namespace {

/// The failures of all requests of a crashed engine arrive within this time.
constexpr Duration crashWindow = std::chrono::seconds(1);
/// A request crashes one replica at a time; more than two within this time have another cause.
constexpr Duration cutWindow = std::chrono::milliseconds(100);
constexpr std::ptrdiff_t replicasOfCut = 3;
/// Events of other streams from before the crash may still be on their way for this long.
constexpr Duration eventDelay = std::chrono::milliseconds(20);
/// Tokens past the point of the crash that clear a suspect; a crash may come a little later than
/// the last token that got through.
constexpr std::uint32_t clearingTokens = 4;
/// Time in which the peer that goes first gets its copy of a request past the point of the crash or
/// runs into the next one.
constexpr Duration peerTurn = std::chrono::seconds(1);
/// Limits the harm if a request is blamed by mistake.
constexpr Duration blockedFor = std::chrono::minutes(10);

auto blamedOnAnother(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> bool
{
    if (replica.isolatedSuspect)
        return true;
    return replica.blamedAt && context.now - *replica.blamedAt <= crashWindow && request.phaseStartedAt <= *replica.blamedAt;
}

auto endProbation(DecisionContext& context, const ActiveRequest& request, OptionalReplica id) -> void
{
    auto* replica = id ? findReplica(context.state, *id) : nullptr;
    if (!replica || replica->isolatedSuspect != request.arrival.request)
        return;
    replica->isolatedSuspect.reset();
    updateIndex(context, *replica);
}

auto forgetExpired(DecisionContext& context) -> void
{
    std::erase_if(context.state.blockedSignatures, [&](const auto& blocked) { return blocked.second <= context.now; });
}

auto clearSuspects(DecisionContext& context, Replica& replica) -> void
{
    removeCrash(context.state.crashEvidence, replica.description.replica);
    replica.crashReportWaitUntil = TimePoint::min();
    updateIndex(context, replica);
    for (const auto id : std::exchange(replica.recentSuspects, {})) {
        auto* suspect = findRequest(context.state, id);
        if (!suspect || suspect->crashSuspicion != CrashSuspicion::Suspect)
            continue;
        suspect->crashSuspicion = CrashSuspicion::None;
        endProbation(context, *suspect, suspect->prefill);
        endProbation(context, *suspect, suspect->decode);
    }
}

/// Connections to several replicas of a zone that break at once show a network failure.
auto clearIfZoneIsCut(DecisionContext& context, const Replica& replica) -> void
{
    auto& lost = context.state.disconnectedReplicas;
    const auto id = replica.description.replica;
    std::erase_if(lost, [&](const auto& entry) { return context.now - entry.second > cutWindow || entry.first == id; });
    lost.emplace_back(id, context.now);
    const auto sameZone = [&](const auto& entry) {
        const auto* other = findReplica(context.state, entry.first);
        return other && other->description.zone == replica.description.zone;
    };
    if (std::count_if(lost.begin(), lost.end(), sameZone) < replicasOfCut)
        return;
    for (const auto& entry : lost) {
        if (sameZone(entry))
            clearSuspects(context, *findReplica(context.state, entry.first));
    }
}

/// The verdict waits for what peers have seen of the same crash.
auto tellPeers(DecisionContext& context, const ActiveRequest& request, Replica& replica) -> void
{
    const auto id = replica.description.replica;
    addCrash(context.state.crashEvidence, request.arrival.signature, id, context.now, Duration::zero());
    context.actions.emplace_back(ReportCrash { request.arrival.signature, id });
    replica.crashReportWaitUntil = context.now + crashReportWait;
    updateIndex(context, replica);
}

}

auto recordCrash(DecisionContext& context, ActiveRequest& request, Replica& replica) -> void
{
    request.emittedAtCrash = request.emitted;
    if (replica.isolatedSuspect == request.arrival.request) {
        replica.blamedAt = context.now;
        request.crashSuspicion = CrashSuspicion::Confirmed;
        context.state.crashEvidence.erase(request.arrival.signature);
    } else if (!blamedOnAnother(context, request, replica)) {
        request.crashSuspicion = CrashSuspicion::Suspect;
        if (replica.recentSuspects.empty() || context.now - replica.connectionLostAt > crashWindow) {
            replica.recentSuspects.clear();
            replica.connectionLostAt = context.now;
        }
        replica.recentSuspects.push_back(request.arrival.request);
        if (context.state.settings.sharingInstances > 1)
            tellPeers(context, request, replica);
        clearIfZoneIsCut(context, replica);
    }
}

auto clearSuspectsIfAlive(DecisionContext& context, const ActiveRequest& request, ReplicaId id) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica || replica->recentSuspects.empty())
        return;
    if (request.phaseStartedAt >= replica->connectionLostAt || context.now - replica->connectionLostAt < eventDelay)
        return;
    clearSuspects(context, *replica);
}

auto clearSuspectAfterProgress(DecisionContext& context, ActiveRequest& request) -> void
{
    if (request.crashSuspicion != CrashSuspicion::Suspect || request.emitted < request.emittedAtCrash + clearingTokens)
        return;
    request.crashSuspicion = CrashSuspicion::None;
    context.state.crashEvidence.erase(request.arrival.signature);
    endProbation(context, request, request.decode);
}

auto blockSignature(DecisionContext& context, std::uint64_t signature) -> void
{
    // Zero stands for a request without a signature.
    if (!signature)
        return;
    forgetExpired(context);
    context.state.blockedSignatures[signature] = context.now + blockedFor;
    std::vector<RequestId> same;
    for (const auto& [id, request] : context.state.requests) {
        if (request.arrival.signature == signature)
            same.push_back(id);
    }
    for (const auto id : same)
        refuse(context, *findRequest(context.state, id), RefusalReason::CrashSuspect);
}

auto recordPeerCrash(DecisionContext& context, std::uint64_t signature, Replica& replica, bool peerRetriesFirst) -> void
{
    const auto ranHere = std::ranges::any_of(replica.recentSuspects, [&](RequestId id) {
        const auto* suspect = findRequest(context.state, id);
        return suspect && suspect->arrival.signature == signature;
    });
    // A copy that has not run into the crash waits for the peer's, whose turn it is in any case.
    const auto waits = peerRetriesFirst || !ranHere;
    addCrash(context.state.crashEvidence, signature, replica.description.replica, context.now, waits ? peerTurn : Duration::zero());
    clearIfZoneIsCut(context, replica);
}

auto awaitsCrashReports(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    return isStartDelayed(context.state.crashEvidence, request.arrival.signature, context.now);
}

auto blockBlamedSignatures(DecisionContext& context) -> void
{
    for (const auto signature : takeBlamedSignatures(context.state.crashEvidence, context.now)) {
        context.actions.emplace_back(ReportCrashSignature { signature });
        blockSignature(context, signature);
    }
}

auto isBlocked(const DecisionContext& context, std::uint64_t signature) -> bool
{
    const auto blocked = context.state.blockedSignatures.find(signature);
    return blocked != context.state.blockedSignatures.end() && blocked->second > context.now;
}

}
