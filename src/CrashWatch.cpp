#include "CrashWatch.h"

#include "ReplicaIndex.h"
#include "RequestLife.h"

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
    if (replica.probationer)
        return true;
    return replica.blamedAt && context.now - *replica.blamedAt <= crashWindow && request.phaseSince <= *replica.blamedAt;
}

auto endProbation(DecisionContext& context, const ActiveRequest& request, OptionalReplica id) -> void
{
    auto* replica = id ? findReplica(context.state, *id) : nullptr;
    if (!replica || replica->probationer != request.arrival.request)
        return;
    replica->probationer.reset();
    updateIndex(context, *replica);
}

auto forgetExpired(DecisionContext& context) -> void
{
    std::erase_if(context.state.blockedSignatures, [&](const auto& blocked) { return blocked.second <= context.now; });
}

auto clearSuspects(DecisionContext& context, Replica& replica) -> void
{
    forgetCrash(context.state.crashEvidence, replica.description.replica);
    replica.settlesAt = TimePoint::min();
    updateIndex(context, replica);
    for (const auto id : std::exchange(replica.freshSuspects, {})) {
        auto* suspect = findRequest(context.state, id);
        if (!suspect || suspect->verdict != CrashVerdict::Suspect)
            continue;
        suspect->verdict = CrashVerdict::None;
        endProbation(context, *suspect, suspect->prefill);
        endProbation(context, *suspect, suspect->decode);
    }
}

/// Connections to several replicas of a zone that break at once show a network failure.
auto clearIfZoneIsCut(DecisionContext& context, const Replica& replica) -> void
{
    auto& lost = context.state.lostReplicas;
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
    replica.settlesAt = context.now + crashSettleTime;
    updateIndex(context, replica);
}

}

auto noteCrash(DecisionContext& context, ActiveRequest& request, Replica& replica) -> void
{
    request.emittedAtCrash = request.emitted;
    if (replica.probationer == request.arrival.request) {
        replica.blamedAt = context.now;
        request.verdict = CrashVerdict::Culprit;
        context.state.crashEvidence.erase(request.arrival.signature);
    } else if (!blamedOnAnother(context, request, replica)) {
        request.verdict = CrashVerdict::Suspect;
        if (replica.freshSuspects.empty() || context.now - replica.lostAt > crashWindow) {
            replica.freshSuspects.clear();
            replica.lostAt = context.now;
        }
        replica.freshSuspects.push_back(request.arrival.request);
        if (context.state.settings.sharingInstances > 1)
            tellPeers(context, request, replica);
        clearIfZoneIsCut(context, replica);
    }
}

auto noteAlive(DecisionContext& context, const ActiveRequest& request, ReplicaId id) -> void
{
    auto* replica = findReplica(context.state, id);
    if (!replica || replica->freshSuspects.empty())
        return;
    if (request.phaseSince >= replica->lostAt || context.now - replica->lostAt < eventDelay)
        return;
    clearSuspects(context, *replica);
}

auto noteProgress(DecisionContext& context, ActiveRequest& request) -> void
{
    if (request.verdict != CrashVerdict::Suspect || request.emitted < request.emittedAtCrash + clearingTokens)
        return;
    request.verdict = CrashVerdict::None;
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

auto noteCrashElsewhere(DecisionContext& context, std::uint64_t signature, Replica& replica, bool peerGoesFirst) -> void
{
    const auto ranHere = std::ranges::any_of(replica.freshSuspects, [&](RequestId id) {
        const auto* suspect = findRequest(context.state, id);
        return suspect && suspect->arrival.signature == signature;
    });
    // A copy that has not run into the crash waits for the peer's, whose turn it is in any case.
    const auto waits = peerGoesFirst || !ranHere;
    addCrash(context.state.crashEvidence, signature, replica.description.replica, context.now, waits ? peerTurn : Duration::zero());
    clearIfZoneIsCut(context, replica);
}

auto awaitsVerdict(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    return isHeld(context.state.crashEvidence, request.arrival.signature, context.now);
}

auto judgeCrashes(DecisionContext& context) -> void
{
    for (const auto signature : takeBlamed(context.state.crashEvidence, context.now)) {
        context.actions.emplace_back(ReportSignature { signature });
        blockSignature(context, signature);
    }
}

auto isBlocked(const DecisionContext& context, std::uint64_t signature) -> bool
{
    const auto blocked = context.state.blockedSignatures.find(signature);
    return blocked != context.state.blockedSignatures.end() && blocked->second > context.now;
}

}
