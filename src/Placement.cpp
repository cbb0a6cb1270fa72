#include "Placement.h"

#include "Forecast.h"
#include "Ledger.h"
#include "ReplicaIndex.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Replicas examined in each zone before the next zone is tried; bounds the cost of a decision.
constexpr std::size_t examinedPerZone = 8;

/// A transfer may wait this long for the link; longer, and the result could expire.
constexpr double longestLinkSeconds = 0.4;

auto linkHasShare(const Replica& replica, std::uint64_t bytes) -> bool
{
    const auto rate = static_cast<double>(replica.description.linkBytesPerSecond);
    // A single transfer gets the link even if it takes long; otherwise it would never run.
    return rate <= 0 || !replica.reserved.linkBytes || static_cast<double>(replica.reserved.linkBytes + bytes) <= rate * longestLinkSeconds;
}

auto fits(const Replica& replica, const Reservation& amount) -> bool
{
    return hasPieces(replica, amount.pieces) && linkHasShare(replica, amount.linkBytes);
}

template <typename Fits>
auto firstInZone(DecisionContext& context, const ZoneIndex& zone, const ActiveRequest& request, Fits fitsThere) -> Replica*
{
    Replica* second = nullptr;
    std::size_t examined = 0;
    for (const auto& [load, id] : zone) {
        if (++examined > examinedPerZone)
            break;
        auto* replica = findReplica(context.state, id);
        if (!replica || !fitsThere(*replica))
            continue;
        if (request.avoid != id)
            return replica;
        second = replica;
    }
    return second;
}

template <typename Fits>
auto firstOfRole(DecisionContext& context, PoolRole role, const ActiveRequest& request, Fits fitsThere) -> Replica*
{
    auto& zones = context.state.index.ofRole(role);
    const auto local = context.state.settings.localZone;
    if (const auto zone = zones.find(local); zone != zones.end()) {
        if (auto* replica = firstInZone(context, zone->second, request, fitsThere))
            return replica;
    }
    for (const auto& [id, zone] : zones) {
        if (id == local)
            continue;
        if (auto* replica = firstInZone(context, zone, request, fitsThere))
            return replica;
    }
    return nullptr;
}

}

auto decodeReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation
{
    const auto& state = context.state;
    return { .seats = 1, .pieces = piecesFor(replica, reservedTokens(state, request)), .linkBytes = transferBytes(state, request) };
}

auto prefillReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation
{
    const auto tokens = request.arrival.promptTokens;
    return { .seats = 1, .pieces = piecesFor(replica, tokens), .linkBytes = transferBytes(context.state, request), .prefillTokens = tokens };
}

auto chooseDecode(DecisionContext& context, const ActiveRequest& request) -> Replica*
{
    return firstOfRole(context, PoolRole::Decode, request, [&](const Replica& replica) {
        return fits(replica, decodeReservation(context, request, replica));
    });
}

namespace {

/// @return the live decode replica where a seat is expected to free up next.
auto expectedDecode(DecisionContext& context, const ActiveRequest& request) -> Replica*
{
    const auto ending = context.state.ends.firstAfter(context.now);
    if (!ending)
        return nullptr;
    auto* replica = findReplica(context.state, *findRequest(context.state, *ending)->decode);
    if (!replica || replica->description.state != ReplicaState::Live)
        return nullptr;
    // The memory must be free now: the ending request may be a small one.
    return hasPieces(*replica, decodeReservation(context, request, *replica).pieces) ? replica : nullptr;
}

}

auto choosePlacement(DecisionContext& context, const ActiveRequest& request) -> std::optional<Placement>
{
    auto* prefill = firstOfRole(context, PoolRole::Prefill, request, [&](const Replica& replica) {
        return fits(replica, prefillReservation(context, request, replica));
    });
    if (!prefill)
        return std::nullopt;
    if (auto* decode = chooseDecode(context, request))
        return Placement { prefill, decode, true };
    // A promised seat goes past the queue. Batch work with a promise would take the next seats from
    // interactive work that arrives in the meantime.
    if (request.latencyClass == LatencyClass::Batch)
        return std::nullopt;
    const auto tokens = prefill->reserved.prefillTokens + request.arrival.promptTokens;
    if (!seatExpected(context, prefillTime(context.state, tokens)))
        return std::nullopt;
    if (auto* decode = expectedDecode(context, request))
        return Placement { prefill, decode, false };
    return std::nullopt;
}

}
