#include "Placement.h"

#include "CrashAttribution.h"
#include "Estimates.h"
#include "PrefillChoice.h"
#include "ReplicaIndex.h"
#include "ReservationAccounting.h"
#include "ZoneSearch.h"

#include <algorithm>

namespace jayhold {

namespace {

/// A transfer may wait this long for the link; longer, and the result could expire.
constexpr double longestLinkSeconds = 0.4;

/// A decode replica in another zone must have this much less load, in parts of its seats or memory: a
/// full one decodes slowly and turns work away, and a transfer between zones costs little more time.
constexpr std::uint64_t otherZoneLoad = loadScale / 4;

auto linkHasShare(const Replica& replica, std::uint64_t bytes) -> bool
{
    const auto rate = static_cast<double>(replica.description.linkBytesPerSecond);
    // A single transfer gets the link even if it takes long; otherwise it would never run.
    return rate <= 0 || !replica.reserved.linkBytes || static_cast<double>(replica.reserved.linkBytes + bytes) <= rate * longestLinkSeconds;
}

/// Part of the memory that a request which has missed its target leaves free: it is worth less than
/// those that can still meet theirs, and would take their memory for seconds.
constexpr double leftByLate = 0.25;

/// Part of its answer for which a request asks for memory at the start. The answer takes it over seconds,
/// in which others on the engine end: asking for the whole, or for room for the growth of the others
/// besides, left memory unused and refused more than the preemptions that it saved.
constexpr std::uint64_t slotPartOfAnswer = 2;

/// Other instances take memory that no report shows yet, and a long prompt that is refused for it
/// has been prefilled in vain. Batch work can wait until there is room for two of its size.
auto memoryBlocksToLeave(const DecisionContext& context, const ActiveRequest& request, const Replica& replica, std::uint32_t memoryBlocks) -> std::uint32_t
{
    if (context.state.settings.sharingInstances < 2)
        return 0;
    if (request.subQueue == SubQueue::Overdue)
        return static_cast<std::uint32_t>(replica.description.memoryBlocks * leftByLate);
    if (request.latencyClass != LatencyClass::Batch || request.subQueue == SubQueue::Resume)
        return 0;
    // A request of more than half of the memory needs an empty replica and no more.
    const auto total = replica.description.memoryBlocks;
    return std::min(memoryBlocks, total - std::min(memoryBlocks, total));
}

}

auto decodeReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation
{
    const auto& state = context.state;
    auto memoryBlocks = memoryBlocksFor(replica, reservedTokens(state, request));
    // An answer that may outgrow the replica still runs where its prompt fits.
    if (tokenCapacity(replica) > request.arrival.promptTokens && replica.description.memoryBlocks)
        memoryBlocks = std::min(memoryBlocks, replica.description.memoryBlocks);
    return { .linkBytes = transferBytes(state, request), .slots = 1, .memoryBlocks = memoryBlocks };
}

auto prefillReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation
{
    const auto tokens = request.arrival.promptTokens;
    const auto cached = expectedCachedTokens(context.state, request, replica.description.replica);
    return {
        .linkBytes = transferBytes(context.state, request),
        .slots = 1,
        .memoryBlocks = memoryBlocksFor(replica, tokens),
        .prefillTokens = tokens - cached,
    };
}

auto prefillFits(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> bool
{
    return hasFreeMemoryBlocks(replica, memoryBlocksFor(replica, request.arrival.promptTokens)) && linkHasShare(replica, transferBytes(context.state, request));
}

auto chooseDecode(DecisionContext& context, const ActiveRequest& request, ZoneId prefillZone) -> Replica*
{
    const auto fits = [&](const Replica& replica) {
        const auto amount = decodeReservation(context, request, replica);
        const auto needed = amount.memoryBlocks + memoryBlocksToLeave(context, request, replica, amount.memoryBlocks);
        return hasFreeMemoryBlocks(replica, needed) && linkHasShare(replica, amount.linkBytes);
    };
    const auto local = context.state.settings.localZone;
    // The transfer stays within a zone where it can.
    auto* near = leastLoadedInZone(context, PoolRole::Decode, prefillZone, request, fits);
    if (!near)
        near = leastLoadedInZone(context, PoolRole::Decode, local, request, fits);
    auto* far = leastLoadedElsewhere(context, PoolRole::Decode, { prefillZone, local }, request, fits);
    if (near && far)
        return decodeLoad(*near) > decodeLoad(*far) + otherZoneLoad ? far : near;
    if (near || far)
        return near ? near : far;
    return avoidedIfFits(context, PoolRole::Decode, request, fits);
}

auto slotMemoryTokens(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> std::uint32_t
{
    const std::uint64_t prompt = request.arrival.promptTokens;
    const auto answer = reservedTokens(context.state, request) - prompt;
    return static_cast<std::uint32_t>(std::min(prompt + answer / slotPartOfAnswer, tokenCapacity(replica)));
}

namespace {

/// @return a live decode replica where a seat is expected to free up soon.
auto expectedDecode(DecisionContext& context, const ActiveRequest& request) -> Replica*
{
    Replica* replica = nullptr;
    const auto found = context.state.decodeEnds.firstAfter(context.now, [&](RequestId id) {
        const auto* ending = findRequest(context.state, id);
        if (!ending || ending->phase != RequestPhase::Decoding)
            return false;
        replica = findReplica(context.state, *ending->decode);
        if (!replica || replica->description.state != ReplicaState::Live)
            return false;
        // The memory must be free now: the ending request may be a small one.
        return hasFreeMemoryBlocks(*replica, decodeReservation(context, request, *replica).memoryBlocks);
    });
    return found ? replica : nullptr;
}

/// A decode replica prefills at half the speed of a prefill replica.
constexpr int ownPrefillFactor = 2;
/// Results that a decode replica could not fetch before the request goes without one.
constexpr int mostLostResults = 1;

/// @return whether a decode replica that prefills by itself answers sooner than the prefill replica.
auto isSlowerThanOwnPrefill(const ShardState& state, const ActiveRequest& request, const Replica& prefill) -> bool
{
    const std::uint64_t own = request.arrival.promptTokens;
    return prefillTime(state, std::uint64_t { prefill.reserved.prefillTokens } + prefill.peerPrefillTokens + own) > prefillTime(state, own) * (ownPrefillFactor + 1);
}

auto prefersOwnPrefill(const ShardState& state, const ActiveRequest& request, const Replica* prefill) -> bool
{
    if (!state.settings.decodeMayPrefill)
        return false;
    return !prefill || request.kvFetchFailures >= mostLostResults || isSlowerThanOwnPrefill(state, request, *prefill);
}

auto hasFreeDecode(const ShardState& state) -> bool
{
    return std::any_of(state.index.decode.begin(), state.index.decode.end(), [](const auto& zone) { return !zone.second.empty(); });
}

}

auto choosePlacement(DecisionContext& context, const ActiveRequest& request, std::int64_t slotHeadroom) -> std::optional<Placement>
{
    if (awaitsCrashReports(context, request))
        return std::nullopt;
    // Without a seat or the prospect of one, the more expensive choice of a prefill is left out.
    const auto slotIsFree = hasFreeDecode(context.state) && context.state.freeDecodeSlots > slotHeadroom;
    if (!slotIsFree && !slotExpected(context, prefillTime(context.state, request.arrival.promptTokens), slotHeadroom))
        return std::nullopt;
    auto* prefill = choosePrefill(context, request);
    if (prefersOwnPrefill(context.state, request, prefill)) {
        auto* decode = slotIsFree ? chooseDecode(context, request, context.state.settings.localZone) : nullptr;
        if (decode)
            return Placement { nullptr, decode, true };
    }
    if (!prefill)
        return std::nullopt;
    if (auto* decode = slotIsFree ? chooseDecode(context, request, prefill->description.zone) : nullptr)
        return Placement { prefill, decode, true };
    // A promised seat goes past the queue. Batch work with a promise would take the next seats from
    // interactive work that arrives in the meantime.
    if (request.latencyClass == LatencyClass::Batch)
        return std::nullopt;
    // A suspect is not run on the chance of a seat; its replica must be free of other suspects.
    if (request.crashSuspicion == CrashSuspicion::Suspect)
        return std::nullopt;
    const auto tokens = prefill->reserved.prefillTokens + request.arrival.promptTokens;
    if (!slotExpected(context, prefillTime(context.state, tokens), slotHeadroom))
        return std::nullopt;
    if (auto* decode = expectedDecode(context, request))
        return Placement { prefill, decode, false };
    return std::nullopt;
}

}
