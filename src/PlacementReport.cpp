#include "PlacementReport.h"

#include "ApiError.h"

#include <boost/json/array.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

auto stateName(ReplicaState state) -> std::string_view
{
    return state == ReplicaState::Live ? "live" : "leaving";
}

auto nameOf(const ModelPlacement& placement, ReplicaId id) -> std::string
{
    const auto found = placement.servers.find(id);
    return found == placement.servers.end() ? std::string() : found->second.name;
}

struct DecisionReport {
    const ModelPlacement& placement;

    auto operator()(const StartPrefill& start) const -> json::object
    {
        return {
            { "action", "prefill_and_decode" },
            { "prefill", nameOf(placement, start.prefill) },
            { "decode", nameOf(placement, start.decode) },
            { "decode_slot", placement.explanation.isDecodeSlotFree ? "free" : "expected" },
        };
    }

    auto operator()(const StartDecode& start) const -> json::object
    {
        return { { "action", "decode_only" }, { "decode", nameOf(placement, start.decode) } };
    }

    auto operator()(const PlacementWait& wait) const -> json::object
    {
        return { { "action", "wait" }, { "waits_for", name(wait.cause) }, { "expected_wait_ms", inMilliseconds(wait.expected) }, { "misses_target", wait.isOverdue } };
    }

    auto operator()(const Refuse& refusal) const -> json::object
    {
        auto report = refusalReport(name(refusal.reason), refusal.retryAfter);
        report["expected_wait_ms"] = inMilliseconds(refusal.inputs.wait);
        report["needed_ms"] = inMilliseconds(refusal.inputs.needed);
        return report;
    }
};

auto addOptional(json::object& report, std::string_view key, const std::optional<Duration>& duration) -> void
{
    if (duration)
        report[key] = inMilliseconds(*duration);
}

auto candidateReport(const ModelPlacement& placement, const PlacementCandidate& candidate) -> json::object
{
    const auto server = placement.servers.find(candidate.description.replica);
    const auto isPrefill = candidate.description.role == PoolRole::Prefill;
    json::object report {
        { "id", nameOf(placement, candidate.description.replica) },
        { "role", name(candidate.description.role) },
        { "availability_zone", server == placement.servers.end() ? std::string() : server->second.zone },
        { "obstacle", candidate.obstacle ? json::value(name(*candidate.obstacle)) : json::value() },
    };
    if (isPrefill)
        report["cost_ms"] = inMilliseconds(candidate.prefillCost.value_or(Duration::zero()));
    else
        report["cost"] = candidate.decodeCost.value_or(0);
    report["speed"] = candidate.expectedSpeed;
    report["slots"] = candidate.description.slots;
    report["free_slots"] = candidate.freeSlots;
    report["memory_blocks"] = candidate.description.memoryBlocks;
    report["free_memory_blocks"] = candidate.freeMemoryBlocks;
    report["needed_memory_blocks"] = candidate.neededMemoryBlocks;
    report["own_requests"] = candidate.ownRequests;
    report["peer_requests"] = candidate.peerSlots;
    report["peer_memory_blocks"] = candidate.peerMemoryBlocks;
    if (isPrefill) {
        report["waiting_prompt_tokens"] = std::uint64_t { candidate.reserved.prefillTokens } + candidate.peerPrefillTokens;
        report["cached_tokens"] = candidate.cachedTokens;
    }
    report["state"] = stateName(candidate.description.state);
    report["consecutive_failures"] = candidate.consecutiveFailures;
    report["suspected"] = candidate.isSuspected;
    report["pause_left_ms"] = inMilliseconds(candidate.pauseLeft);
    report["limited"] = candidate.nextCallIn.has_value();
    // A limit of no calls has no next one.
    if (candidate.nextCallIn != Duration::max())
        addOptional(report, "next_call_ms", candidate.nextCallIn);
    addOptional(report, "load_age_ms", candidate.loadAge);
    addOptional(report, "speed_age_ms", candidate.speedAge);
    return report;
}

struct PlainDecisionReport {
    auto operator()(const PlainPlacement::Send& send) const -> json::object
    {
        return { { "action", "call" }, { "server", send.server } };
    }

    auto operator()(const PlainPlacement::Wait& wait) const -> json::object
    {
        return { { "action", "wait" }, { "waits_for", "slot" }, { "expected_wait_ms", inMilliseconds(wait.expected) } };
    }

    auto operator()(const PlainPlacement::Refusal& refusal) const -> json::object
    {
        return refusalReport(refusal.type, refusal.retryAfter);
    }
};

auto candidateReport(const PlainCandidate& candidate) -> json::object
{
    const auto& backend = candidate.backend;
    json::object report {
        { "id", backend.server.id },
        { "availability_zone", backend.server.availabilityZone },
        { "obstacle", candidate.obstacle ? json::value(name(*candidate.obstacle)) : json::value() },
        { "cost", candidate.cost },
        { "speed", candidate.speed },
        { "slots", backend.slots },
        { "in_flight", backend.inFlight },
        { "suspects", backend.suspects },
        { "consecutive_failures", backend.consecutiveFailures },
        { "suspected", backend.suspects > 0 || backend.consecutiveFailures >= PlainBalancer::ejectionThreshold },
        { "pause_left_ms", inMilliseconds(candidate.pauseLeft) },
        { "limited", backend.allowance.has_value() },
        { "state", stateName(backend.server.state) },
    };
    addOptional(report, "speed_age_ms", candidate.speedAge);
    return report;
}

auto stateReport(const PlacementExplanation& explanation) -> json::object
{
    json::object report {
        { "queued", explanation.queuedBefore },
        { "free_decode_slots", explanation.freeDecodeSlots },
        { "other_zone_penalty", explanation.otherZonePenalty },
        { "refused_instead", explanation.displacedRequests },
        { "candidates", explanation.candidateCount },
    };
    if (explanation.slotHeadroom)
        report["decode_slots_kept_free"] = *explanation.slotHeadroom;
    return report;
}

}

auto inMilliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto refusalReport(std::string_view reason, Duration retryAfter) -> json::object
{
    return { { "action", "refuse" }, { "reason", reason }, { "retry_after_ms", inMilliseconds(retryAfter) } };
}

auto placementReport(const ModelPlacement& placement) -> json::object
{
    json::array prefills;
    json::array decodes;
    for (const auto& candidate : placement.explanation.candidates)
        (candidate.description.role == PoolRole::Prefill ? prefills : decodes).push_back(candidateReport(placement, candidate));
    return {
        { "decision", std::visit(DecisionReport { placement }, placement.explanation.decision) },
        { "state", stateReport(placement.explanation) },
        { "prefill_candidates", std::move(prefills) },
        { "decode_candidates", std::move(decodes) },
    };
}

auto placementReport(const PlainPlacement& placement) -> json::object
{
    json::array candidates;
    for (const auto& candidate : placement.candidates)
        candidates.push_back(candidateReport(candidate));
    return {
        { "decision", std::visit(PlainDecisionReport {}, placement.decision) },
        { "state", json::object { { "waiting", placement.waiting }, { "waiting_before", placement.waitingBefore }, { "call_ms", inMilliseconds(placement.callTime) }, { "other_zone_cost_ms", inMilliseconds(PlainBalancer::otherZoneCallCost) } } },
        { "candidates", std::move(candidates) },
    };
}

}
