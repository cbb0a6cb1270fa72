#include "ReservationAccounting.h"

#include "ReplicaIndex.h"
#include "ReplicaPauses.h"

#include <algorithm>
#include <limits>

namespace jayhold {

namespace {

constexpr double memoryBlocksSmoothing = 0.05;
constexpr std::uint32_t defaultMemoryBlockTokens = 2'000;

/// Whether the request runs on its replica of that role, as opposed to holding a slot for later.
auto runsOnEngine(const ActiveRequest& request, PoolRole role) -> bool
{
    if (role == PoolRole::Prefill)
        return request.phase == RequestPhase::Prefilling;
    return request.phase == RequestPhase::Starting || request.phase == RequestPhase::Decoding;
}

auto releasePart(DecisionContext& context, const ActiveRequest& request, ReplicaId id, Reservation& requestReserved, Reservation part, bool ranOnEngine) -> void
{
    subtract(requestReserved, part);
    auto* replica = findReplica(context.state, id);
    if (!replica)
        return;
    subtract(replica->reserved, part);
    // A request may also hold a reservation for its replacement here.
    auto& requests = replica->requests;
    if (const auto entry = std::ranges::find(requests, request.arrival.request); requestReserved.empty() && entry != requests.end())
        requests.erase(entry);
    if (part.slots && replica->isolatedSuspect == request.arrival.request)
        replica->isolatedSuspect.reset();
    if (part.slots)
        forgetFirstAfterPause(*replica, request.arrival.request, context.now);
    if (part.slots && replica->slotAllowance)
        *replica->slotAllowance += part.slots;
    if (part.slots && ranOnEngine)
        replica->recentUsages.add({ request.phaseStartedAt, context.now, part.memoryBlocks });
    updateIndex(context, *replica);
}

auto releasePrefillPart(DecisionContext& context, ActiveRequest& request, Reservation part) -> void
{
    if (request.prefill && !part.empty())
        releasePart(context, request, *request.prefill, request.prefillReserved, part, runsOnEngine(request, PoolRole::Prefill));
}

auto releaseDecodePart(DecisionContext& context, ActiveRequest& request, Reservation part) -> void
{
    if (request.decode && !part.empty())
        releasePart(context, request, *request.decode, request.decodeReserved, part, runsOnEngine(request, PoolRole::Decode));
}

auto takePart(DecisionContext& context, const ActiveRequest& request, Replica& replica, Reservation& requestReserved, const Reservation& amount) -> void
{
    if (requestReserved.empty())
        replica.requests.push_back(request.arrival.request);
    add(requestReserved, amount);
    add(replica.reserved, amount);
    if (replica.role() == PoolRole::Decode && amount.slots)
        context.state.meanDecodeMemoryBlocks += (amount.memoryBlocks - context.state.meanDecodeMemoryBlocks) * memoryBlocksSmoothing;
    if (request.crashSuspicion == CrashSuspicion::Suspect && amount.slots)
        replica.isolatedSuspect = request.arrival.request;
    if (amount.slots)
        recordFirstAfterPause(replica, request.arrival.request);
    // Each reservation of a slot is for one call to the replica.
    if (replica.allowance && amount.slots && isLimitedCall(request, replica))
        replica.allowance->tryTake(context.now);
    if (replica.slotAllowance)
        *replica.slotAllowance -= std::min(*replica.slotAllowance, amount.slots);
    updateIndex(context, replica);
}

}

auto reserve(DecisionContext& context, ActiveRequest& request, Replica& replica, const Reservation& amount) -> void
{
    if (replica.role() == PoolRole::Decode)
        request.attemptVersion = replica.description.version;
    takePart(context, request, replica, replica.role() == PoolRole::Prefill ? request.prefillReserved : request.decodeReserved, amount);
}

auto reserveReplacement(DecisionContext& context, const ActiveRequest& request, Replica& replica, const Reservation& amount) -> Replacement&
{
    auto& replacement = context.state.replacements[request.arrival.request];
    replacement.number = ++context.state.lastReplacement;
    replacement.decode = replica.description.replica;
    replacement.emitted = request.emitted;
    takePart(context, request, replica, replacement.reserved, amount);
    return replacement;
}

auto releaseReplacement(DecisionContext& context, const ActiveRequest& request) -> void
{
    const auto entry = context.state.replacements.extract(request.arrival.request);
    if (!entry)
        return;
    auto& replacement = entry.mapped();
    auto* replica = findReplica(context.state, replacement.decode);
    // No call was sent.
    if (replica && replica->allowance)
        replica->allowance->putBack(context.now);
    releasePart(context, request, replacement.decode, replacement.reserved, replacement.reserved, false);
}

auto isLimitedCall(const ActiveRequest& request, const Replica& replica) -> bool
{
    return replica.role() == PoolRole::Decode || request.engineCalls > 0;
}

auto putBackCalls(DecisionContext& context, const ActiveRequest& request) -> void
{
    const std::pair<OptionalReplica, Reservation> reservations[] = { { request.prefill, request.prefillReserved }, { request.decode, request.decodeReserved } };
    for (const auto& [id, reserved] : reservations) {
        auto* replica = id && reserved.slots ? findReplica(context.state, *id) : nullptr;
        if (replica && replica->allowance && isLimitedCall(request, *replica))
            replica->allowance->putBack(context.now);
    }
}

auto releasePrefill(DecisionContext& context, ActiveRequest& request) -> void
{
    releasePrefillPart(context, request, request.prefillReserved);
}

auto releasePrefillSlot(DecisionContext& context, ActiveRequest& request) -> void
{
    auto part = request.prefillReserved;
    part.memoryBlocks = 0;
    part.linkBytes = 0;
    releasePrefillPart(context, request, part);
}

auto releaseDecode(DecisionContext& context, ActiveRequest& request) -> void
{
    releaseDecodePart(context, request, request.decodeReserved);
}

auto releaseDecodeLink(DecisionContext& context, ActiveRequest& request) -> void
{
    releaseDecodePart(context, request, { .linkBytes = request.decodeReserved.linkBytes });
}

auto growDecode(DecisionContext& context, ActiveRequest& request) -> void
{
    auto* replica = findReplica(context.state, *request.decode);
    if (!replica)
        return;
    const auto tokens = std::uint64_t { request.arrival.promptTokens } + request.emitted;
    if (memoryBlocksFor(*replica, tokens) > request.decodeReserved.memoryBlocks && hasFreeMemoryBlocks(*replica, 1))
        reserve(context, request, *replica, { .memoryBlocks = 1 });
}

auto memoryBlocksFor(const Replica& replica, std::uint64_t tokens) -> std::uint32_t
{
    const auto size = replica.description.memoryBlockTokens ? replica.description.memoryBlockTokens : defaultMemoryBlockTokens;
    return static_cast<std::uint32_t>((tokens + size - 1) / size);
}

auto tokenCapacity(const Replica& replica) -> std::uint64_t
{
    const auto& description = replica.description;
    const auto size = description.memoryBlockTokens ? description.memoryBlockTokens : defaultMemoryBlockTokens;
    return description.memoryBlocks ? std::uint64_t { description.memoryBlocks } * size : std::numeric_limits<std::uint64_t>::max();
}

auto freeSlots(const Replica& replica) -> std::uint32_t
{
    const auto used = replica.reserved.slots + replica.peerSlots;
    const auto unused = replica.description.slots > used ? replica.description.slots - used : 0;
    return replica.slotAllowance ? std::min(unused, *replica.slotAllowance) : unused;
}

auto hasFreeMemoryBlocks(const Replica& replica, std::uint32_t memoryBlocks) -> bool
{
    const auto total = replica.description.memoryBlocks;
    return !total || replica.reserved.memoryBlocks + replica.peerMemoryBlocks + memoryBlocks <= total;
}

}
