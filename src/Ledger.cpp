#include "Ledger.h"

#include "ReplicaIndex.h"

#include <algorithm>
#include <limits>

namespace jayhold {

namespace {

constexpr double newestPiecesShare = 0.05;
constexpr std::uint32_t defaultPieceTokens = 2'000;

/// Whether the request runs on its replica of that role, not only holds a seat for later.
auto usesEngine(const ActiveRequest& request, PoolRole role) -> bool
{
    if (role == PoolRole::Prefill)
        return request.phase == RequestPhase::Prefilling;
    return request.phase == RequestPhase::Starting || request.phase == RequestPhase::Decoding;
}

auto releasePart(DecisionContext& context, ActiveRequest& request, ReplicaId id, Reservation& hold, Reservation part) -> void
{
    subtract(hold, part);
    auto* replica = findReplica(context.state, id);
    if (!replica)
        return;
    subtract(replica->reserved, part);
    if (hold.empty())
        std::erase(replica->owners, request.arrival.request);
    if (part.seats && replica->probationer == request.arrival.request)
        replica->probationer.reset();
    if (part.seats && replica->seatAllowance)
        *replica->seatAllowance += part.seats;
    if (part.seats && usesEngine(request, replica->role()))
        replica->endedUses.add({ request.phaseSince, context.now, part.pieces });
    updateIndex(context, *replica);
}

}

auto reserve(DecisionContext& context, ActiveRequest& request, Replica& replica, const Reservation& amount) -> void
{
    auto& hold = replica.role() == PoolRole::Prefill ? request.prefillHold : request.decodeHold;
    if (hold.empty())
        replica.owners.push_back(request.arrival.request);
    add(hold, amount);
    add(replica.reserved, amount);
    if (replica.role() == PoolRole::Decode && amount.seats)
        context.state.meanDecodePieces += (amount.pieces - context.state.meanDecodePieces) * newestPiecesShare;
    if (request.verdict == CrashVerdict::Suspect && amount.seats)
        replica.probationer = request.arrival.request;
    if (replica.seatAllowance)
        *replica.seatAllowance -= std::min(*replica.seatAllowance, amount.seats);
    updateIndex(context, replica);
}

auto releasePrefill(DecisionContext& context, ActiveRequest& request) -> void
{
    if (request.prefill && !request.prefillHold.empty())
        releasePart(context, request, *request.prefill, request.prefillHold, request.prefillHold);
}

auto releasePrefillSeat(DecisionContext& context, ActiveRequest& request) -> void
{
    auto part = request.prefillHold;
    part.pieces = 0;
    part.linkBytes = 0;
    if (request.prefill && !part.empty())
        releasePart(context, request, *request.prefill, request.prefillHold, part);
}

auto releaseDecode(DecisionContext& context, ActiveRequest& request) -> void
{
    if (request.decode && !request.decodeHold.empty())
        releasePart(context, request, *request.decode, request.decodeHold, request.decodeHold);
}

auto releaseDecodeLink(DecisionContext& context, ActiveRequest& request) -> void
{
    const Reservation part { .linkBytes = request.decodeHold.linkBytes };
    if (request.decode && !part.empty())
        releasePart(context, request, *request.decode, request.decodeHold, part);
}

auto growDecode(DecisionContext& context, ActiveRequest& request) -> void
{
    auto* replica = findReplica(context.state, *request.decode);
    if (!replica)
        return;
    const auto tokens = std::uint64_t { request.arrival.promptTokens } + request.emitted;
    if (piecesFor(*replica, tokens) > request.decodeHold.pieces && hasPieces(*replica, 1))
        reserve(context, request, *replica, { .pieces = 1 });
}

auto piecesFor(const Replica& replica, std::uint64_t tokens) -> std::uint32_t
{
    const auto size = replica.description.pieceTokens ? replica.description.pieceTokens : defaultPieceTokens;
    return static_cast<std::uint32_t>((tokens + size - 1) / size);
}

auto tokenCapacity(const Replica& replica) -> std::uint64_t
{
    const auto& description = replica.description;
    const auto size = description.pieceTokens ? description.pieceTokens : defaultPieceTokens;
    return description.memoryPieces ? std::uint64_t { description.memoryPieces } * size : std::numeric_limits<std::uint64_t>::max();
}

auto freeSeats(const Replica& replica) -> std::uint32_t
{
    const auto used = replica.reserved.seats + replica.othersSeats;
    const auto unused = replica.description.seats > used ? replica.description.seats - used : 0;
    return replica.seatAllowance ? std::min(unused, *replica.seatAllowance) : unused;
}

auto hasPieces(const Replica& replica, std::uint32_t pieces) -> bool
{
    const auto total = replica.description.memoryPieces;
    return !total || replica.reserved.pieces + replica.othersPieces + pieces <= total;
}

}
