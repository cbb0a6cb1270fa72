#include "Shard.h"

#include "CrashAttribution.h"
#include "DecisionContext.h"
#include "Dispatch.h"
#include "LoadReports.h"
#include "PromptPartBlocking.h"
#include "QueuedRequests.h"
#include "ReplicaEvents.h"
#include "ReplicaIndex.h"
#include "ReplicaPauses.h"
#include "RequestEvents.h"
#include "RequestLifecycle.h"
#include "RequestRanks.h"
#include "ReservationAccounting.h"
#include "ShardSummary.h"
#include "SilentAttempts.h"
#include "SpeedEstimates.h"
#include "UndecidedCrashes.h"
#include "VersionBinding.h"

#include <algorithm>

namespace jayhold {

namespace {

auto handle(DecisionContext& context, const CrashSignatureReported& event) -> void
{
    blockSignature(context, event.signature);
}

auto handle(DecisionContext& context, const CrashReported& event) -> void
{
    if (auto* replica = findReplica(context.state, event.replica))
        recordPeerCrash(context, event.signature, *replica, event.peerRetriesFirst);
}

auto handle(DecisionContext& context, const DrainStarted& event) -> void
{
    auto& state = context.state;
    state.draining = state.draining || event.refusesNewRequests;
    state.endsAt = std::min(state.endsAt, event.endsAt);
    std::vector<RequestId> open;
    open.reserve(state.requests.size());
    for (const auto& [id, request] : state.requests)
        open.push_back(id);
    for (const auto id : open) {
        auto& request = *findRequest(state, id);
        // A request that has been answered in part finishes. Only work that never started is refused.
        if (request.phase != RequestPhase::Queued)
            setTimer(context, request);
        else if (state.draining && request.attempt == 0)
            refuse(context, request, RefusalReason::Draining);
        else
            checkWaiting(context, request);
    }
}

auto handle(DecisionContext&, const Tick&) -> void
{
}

auto runTimers(DecisionContext& context) -> void
{
    while (const auto owner = context.state.timers.popDue(context.now)) {
        if (const auto* request = std::get_if<RequestId>(&*owner))
            handleRequestTimer(context, *request);
        else
            handleReplicaTimer(context, std::get<ReplicaId>(*owner));
    }
}

auto scheduleWake(DecisionContext& context) -> void
{
    auto& state = context.state;
    const auto next = std::min({ state.timers.next(), nextStartDelayEnd(state.crashHistory, context.now), state.partCrashes.decideAt, nextVersionCheck(context) });
    // An early wake-up does no harm, so a new one is requested only if none is due in time.
    const auto pending = state.scheduledWake > context.now ? state.scheduledWake : TimePoint::max();
    if (next >= pending)
        return;
    state.scheduledWake = next;
    context.actions.emplace_back(WakeAt { next });
}

}

auto ShardStateDeleter::operator()(ShardState* state) const -> void
{
    delete state;
}

auto makeShard(ShardSettings settings) -> Shard
{
    Shard shard { std::unique_ptr<ShardState, ShardStateDeleter>(new ShardState) };
    shard.state->random.seed(static_cast<std::minstd_rand::result_type>(settings.seed));
    shard.state->retryBudget = makeRetryBudget(settings.retry, settings.instanceCount);
    updateSettings(shard, std::move(settings));
    return shard;
}

auto handleEvent(DecisionContext& context, const DecisionEvent& event) -> void
{
    std::visit([&](const auto& message) { handle(context, message); }, event);
    runTimers(context);
    blockBlamedSignatures(context);
    refuseCrashingParts(context);
    removeEndedReplicas(context);
    refuseUnserved(context);
    dispatch(context);
    scheduleWake(context);
}

auto decide(Shard& shard, TimePoint now, const DecisionEvent& event, std::vector<DecisionAction>& actions) -> void
{
    DecisionContext context { *shard.state, now, actions };
    handleEvent(context, event);
}

auto copyOf(const Shard& shard) -> Shard
{
    return { std::unique_ptr<ShardState, ShardStateDeleter>(new ShardState(std::as_const(*shard.state))) };
}

auto updateSettings(Shard& shard, ShardSettings settings) -> void
{
    shard.state->lengthModels.resize(settings.kinds.size());
    shard.state->retryBudget.updateLimits(budgetLimits(settings.retry, settings.instanceCount));
    shard.state->settings = std::move(settings);
    shard.state->ranks = ranksOf(shard.state->settings);
    recountRetryWaits(*shard.state);
}

namespace {

using ReservationByReplica = std::unordered_map<ReplicaId, Reservation>;

/// @return the reservations of requests, and of replacements of their attempts, whose decode replica has not answered
/// yet, by replica.
auto reservedByWaiting(const ShardState& state) -> ReservationByReplica
{
    ReservationByReplica sums;
    for (const auto id : state.awaitingSlotReply) {
        const auto& request = state.requests.at(id);
        if (request.prefill)
            add(sums[*request.prefill], request.prefillReserved);
        if (request.decode)
            add(sums[*request.decode], request.decodeReserved);
    }
    for (const auto& [id, replacement] : state.replacements)
        add(sums[replacement.decode], replacement.reserved);
    return sums;
}

/// @return what is reserved on the replica for work that it runs or has accepted.
auto committedReservation(const Replica& replica, const ReservationByReplica& waitingReservations) -> Reservation
{
    auto used = replica.reserved;
    if (const auto found = waitingReservations.find(replica.description.replica); found != waitingReservations.end())
        subtract(used, found->second);
    return used;
}

}

auto ownUsage(const Shard& shard) -> std::vector<ReplicaUsage>
{
    std::vector<ReplicaUsage> usages;
    const auto waitingReservations = reservedByWaiting(*shard.state);
    for (const auto& [id, replica] : shard.state->replicas) {
        const auto reserved = committedReservation(replica, waitingReservations);
        if (!reserved.empty())
            usages.push_back({ id, reserved.slots, reserved.memoryBlocks, reserved.prefillTokens });
    }
    return usages;
}

auto roleDemand(const Shard& shard) -> RoleDemand
{
    const auto& state = *shard.state;
    RoleDemand demand;
    double memoryBlocks = 0;
    const auto waitingReservations = reservedByWaiting(state);
    for (const auto& [id, replica] : state.replicas) {
        if (replica.description.state != ReplicaState::Live)
            continue;
        if (replica.role() == PoolRole::Prefill) {
            ++demand.prefillReplicas;
            demand.prefillSurplus += replica.expectedSpeed - 1;
            demand.prefillWork += (committedReservation(replica, waitingReservations).slots + replica.peerSlots) * replica.expectedSpeed;
            continue;
        }
        ++demand.decodeReplicas;
        demand.decodeSurplus += replica.expectedSpeed - 1;
        memoryBlocks += replica.description.memoryBlocks;
        demand.decodeWork += static_cast<double>(decodeLoad(replica, committedReservation(replica, waitingReservations))) / static_cast<double>(loadScale) * replica.expectedSpeed;
    }
    // Peers are assumed to have as many requests waiting for memory as this instance.
    const auto waiting = static_cast<double>(waitingForCapacity(state) + state.awaitingSlotReply.size()) * assumedInstances(state.settings);
    if (memoryBlocks > 0)
        demand.decodeWork += waiting * state.meanDecodeMemoryBlocks * demand.decodeReplicas / memoryBlocks;
    return demand;
}

auto observedSpeeds(const Shard& shard, TimePoint now) -> std::vector<ReplicaSpeed>
{
    std::vector<ReplicaSpeed> speeds;
    for (const auto& [id, replica] : shard.state->replicas) {
        if (const auto observed = observedSpeed(replica.speed, now); isReportable(observed) && replica.description.state != ReplicaState::Gone)
            speeds.push_back({ id, workOf(replica), observed });
    }
    return speeds;
}

auto summarizeSpeeds(const Shard& shard) -> SpeedSummary
{
    SpeedSummary summary;
    for (const auto& [id, replica] : shard.state->replicas) {
        if (replica.description.state == ReplicaState::Live)
            addSpeed(summary, replica.expectedSpeed);
    }
    return summary;
}

auto tryConsumeRetry(Shard& shard, TimePoint now, ReplicaId id) -> bool
{
    auto* replica = findReplica(*shard.state, id);
    if (replica && replica->pausedUntil > now)
        return false;
    if (replica && replica->allowance && !replica->allowance->tryTake(now))
        return false;
    return shard.state->retryBudget.tryConsume();
}

auto isPaused(const Shard& shard, TimePoint now, ReplicaId id) -> bool
{
    const auto* replica = findReplica(*shard.state, id);
    return replica && replica->pausedUntil > now;
}

auto retryBudget(const Shard& shard) -> const RetryBudget&
{
    return shard.state->retryBudget;
}

auto summarize(const Shard& shard) -> ShardSummary
{
    const auto& state = *shard.state;
    auto summary = state.totals;
    for (const auto& [id, request] : state.requests) {
        summary.queued += request.phase == RequestPhase::Queued;
        summary.prefilling += request.phase == RequestPhase::Prefilling || request.phase == RequestPhase::Prefilled;
        summary.decoding += request.phase == RequestPhase::Starting || request.phase == RequestPhase::Decoding || request.phase == RequestPhase::Stopping;
    }
    for (const auto& [id, replica] : state.replicas) {
        summary.reservedSlots += replica.reserved.slots;
        summary.reservedMemoryBlocks += replica.reserved.memoryBlocks;
        const auto used = std::uint64_t { replica.reserved.memoryBlocks } + replica.peerMemoryBlocks;
        if (replica.role() == PoolRole::Decode && replica.description.state == ReplicaState::Live && !replica.countedPause)
            summary.freeMemoryBlocks += replica.description.memoryBlocks - std::min<std::uint64_t>(used, replica.description.memoryBlocks);
    }
    summary.remainingRetries = state.retryBudget.remaining();
    summary.liveReplicas = state.prefillCapacities.size() + state.decodeCapacities.size();
    return summary;
}

auto findRequest(ShardState& state, RequestId id) -> ActiveRequest*
{
    const auto found = state.requests.find(id);
    return found == state.requests.end() ? nullptr : &found->second;
}

auto findReplica(ShardState& state, ReplicaId id) -> Replica*
{
    const auto found = state.replicas.find(id);
    return found == state.replicas.end() ? nullptr : &found->second;
}

}
