#include "Placement.h"

#include "Ledger.h"
#include "ReplicaIndex.h"

#include <algorithm>
#include <span>

namespace jayhold {

namespace {

/// Replicas examined in each zone before the next zone is tried; bounds the cost of a decision.
constexpr std::size_t examinedPerZone = 8;

auto transferBytes(const DecisionContext& context, const ActiveRequest& request) -> std::uint64_t
{
    return context.state.settings.kvBytesPerToken * request.arrival.promptTokens;
}

template <typename Fits>
auto firstInZone(DecisionContext& context, const ZoneIndex& zone, const ActiveRequest& request, Fits fits) -> Replica*
{
    Replica* second = nullptr;
    std::size_t examined = 0;
    for (const auto& [load, id] : zone) {
        if (++examined > examinedPerZone)
            break;
        auto* replica = findReplica(context.state, id);
        if (!replica || !fits(*replica))
            continue;
        if (request.avoid != id)
            return replica;
        second = replica;
    }
    return second;
}

template <typename Fits>
auto firstOfRole(DecisionContext& context, PoolRole role, const ActiveRequest& request, Fits fits) -> Replica*
{
    auto& zones = context.state.index.ofRole(role);
    const auto local = context.state.settings.localZone;
    if (const auto zone = zones.find(local); zone != zones.end()) {
        if (auto* replica = firstInZone(context, zone->second, request, fits))
            return replica;
    }
    for (const auto& [id, zone] : zones) {
        if (id == local)
            continue;
        if (auto* replica = firstInZone(context, zone, request, fits))
            return replica;
    }
    return nullptr;
}

}

auto decodeReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation
{
    const auto tokens = std::uint64_t { request.arrival.promptTokens } + request.arrival.maxTokens;
    return { .seats = 1, .pieces = piecesFor(replica, tokens), .linkBytes = transferBytes(context, request) };
}

auto prefillReservation(const DecisionContext& context, const ActiveRequest& request, const Replica& replica) -> Reservation
{
    const auto tokens = request.arrival.promptTokens;
    return { .seats = 1, .pieces = piecesFor(replica, tokens), .linkBytes = transferBytes(context, request), .prefillTokens = tokens };
}

auto chooseDecode(DecisionContext& context, const ActiveRequest& request) -> Replica*
{
    return firstOfRole(context, PoolRole::Decode, request, [&](const Replica& replica) {
        return hasPieces(replica, decodeReservation(context, request, replica).pieces);
    });
}

auto choosePlacement(DecisionContext& context, const ActiveRequest& request) -> std::optional<Placement>
{
    auto* decode = chooseDecode(context, request);
    if (!decode)
        return std::nullopt;
    auto* prefill = firstOfRole(context, PoolRole::Prefill, request, [&](const Replica& replica) {
        return hasPieces(replica, prefillReservation(context, request, replica).pieces);
    });
    if (!prefill)
        return std::nullopt;
    return Placement { prefill, decode };
}

}
