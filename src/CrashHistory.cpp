#include "CrashHistory.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Copies of a request that are sent to several instances at once crash their replicas within this
/// time; a crash much later has a cause of its own.
constexpr Duration crashHistoryTtl = std::chrono::seconds(10);

auto isSettled(const CrashHistory& evidence, TimePoint now) -> bool
{
    return std::ranges::all_of(evidence.crashes, [&](const auto& crash) { return now - crash.second >= crashReportWait; });
}

}

auto addCrash(CrashHistoryTable& table, std::uint64_t signature, ReplicaId replica, TimePoint now, Duration hold) -> void
{
    // Zero stands for a request without a signature.
    if (!signature)
        return;
    auto& evidence = table[signature];
    evidence.startNotBefore = std::max(evidence.startNotBefore, now + std::max(hold, crashReportWait));
    if (std::ranges::find(evidence.crashes, replica, &std::pair<ReplicaId, TimePoint>::first) == evidence.crashes.end())
        evidence.crashes.emplace_back(replica, now);
}

auto removeCrash(CrashHistoryTable& table, ReplicaId replica) -> void
{
    for (auto entry = table.begin(); entry != table.end();) {
        std::erase_if(entry->second.crashes, [&](const auto& crash) { return crash.first == replica; });
        entry = entry->second.crashes.empty() ? table.erase(entry) : std::next(entry);
    }
}

auto isStartDelayed(const CrashHistoryTable& table, std::uint64_t signature, TimePoint now) -> bool
{
    const auto evidence = table.find(signature);
    return evidence != table.end() && now < evidence->second.startNotBefore;
}

auto takeBlamedSignatures(CrashHistoryTable& table, TimePoint now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> blamed;
    for (auto entry = table.begin(); entry != table.end();) {
        auto& evidence = entry->second;
        std::erase_if(evidence.crashes, [&](const auto& crash) { return now - crash.second >= crashHistoryTtl; });
        const auto isBlamed = evidence.crashes.size() > 1 && isSettled(evidence, now);
        if (isBlamed)
            blamed.push_back(entry->first);
        entry = isBlamed || evidence.crashes.empty() ? table.erase(entry) : std::next(entry);
    }
    return blamed;
}

auto nextStartDelayEnd(const CrashHistoryTable& table, TimePoint now) -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto& [signature, evidence] : table) {
        if (evidence.startNotBefore > now)
            next = std::min(next, evidence.startNotBefore);
    }
    return next;
}

}
