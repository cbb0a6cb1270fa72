#include "CrashEvidence.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Copies of a request that are sent to several instances at once crash their replicas within this
/// time; a crash much later has a cause of its own.
constexpr Duration evidenceKept = std::chrono::seconds(10);

auto isSettled(const CrashEvidence& evidence, TimePoint now) -> bool
{
    return std::ranges::all_of(evidence.crashes, [&](const auto& crash) { return now - crash.second >= crashSettleTime; });
}

}

auto addCrash(CrashEvidenceTable& table, std::uint64_t signature, ReplicaId replica, TimePoint now, Duration hold) -> void
{
    // Zero stands for a request without a signature.
    if (!signature)
        return;
    auto& evidence = table[signature];
    evidence.heldUntil = std::max(evidence.heldUntil, now + std::max(hold, crashSettleTime));
    if (std::ranges::find(evidence.crashes, replica, &std::pair<ReplicaId, TimePoint>::first) == evidence.crashes.end())
        evidence.crashes.emplace_back(replica, now);
}

auto forgetCrash(CrashEvidenceTable& table, ReplicaId replica) -> void
{
    for (auto entry = table.begin(); entry != table.end();) {
        std::erase_if(entry->second.crashes, [&](const auto& crash) { return crash.first == replica; });
        entry = entry->second.crashes.empty() ? table.erase(entry) : std::next(entry);
    }
}

auto isHeld(const CrashEvidenceTable& table, std::uint64_t signature, TimePoint now) -> bool
{
    const auto evidence = table.find(signature);
    return evidence != table.end() && now < evidence->second.heldUntil;
}

auto takeBlamed(CrashEvidenceTable& table, TimePoint now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> blamed;
    for (auto entry = table.begin(); entry != table.end();) {
        auto& evidence = entry->second;
        std::erase_if(evidence.crashes, [&](const auto& crash) { return now - crash.second >= evidenceKept; });
        const auto isBlamed = evidence.crashes.size() > 1 && isSettled(evidence, now);
        if (isBlamed)
            blamed.push_back(entry->first);
        entry = isBlamed || evidence.crashes.empty() ? table.erase(entry) : std::next(entry);
    }
    return blamed;
}

auto nextHoldEnd(const CrashEvidenceTable& table, TimePoint now) -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto& [signature, evidence] : table) {
        if (evidence.heldUntil > now)
            next = std::min(next, evidence.heldUntil);
    }
    return next;
}

}
