#include "CrashHistory.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Copies of a request that a caller sends to several instances at once crash their replicas within
/// this time. A crash much later has another cause.
constexpr Duration crashHistoryTtl = std::chrono::seconds(10);

auto reportsHaveArrived(const CrashHistory& history, TimePoint now) -> bool
{
    return std::ranges::all_of(history.crashes, [&](const auto& crash) { return now - crash.second >= crashReportWait; });
}

}

auto addCrash(CrashHistoryTable& table, std::uint64_t signature, ReplicaId replica, TimePoint now, Duration delay) -> void
{
    // Zero stands for a request without a signature.
    if (!signature)
        return;
    auto& history = table[signature];
    if (std::ranges::find(history.crashes, replica, &std::pair<ReplicaId, TimePoint>::first) == history.crashes.end())
        history.crashes.emplace_back(replica, now);
    const auto minDelay = history.crashes.size() > 1 ? crashReportWait : Duration::zero();
    history.startNotBefore = std::max(history.startNotBefore, now + std::max(delay, minDelay));
}

auto removeCrash(CrashHistoryTable& table, ReplicaId replica) -> void
{
    for (auto entry = table.begin(); entry != table.end();) {
        std::erase_if(entry->second.crashes, [&](const auto& crash) { return crash.first == replica; });
        entry = entry->second.crashes.empty() ? table.erase(entry) : std::next(entry);
    }
}

auto takeCrashes(CrashHistoryTable& table, ReplicaId replica) -> std::vector<std::pair<std::uint64_t, TimePoint>>
{
    std::vector<std::pair<std::uint64_t, TimePoint>> taken;
    for (const auto& [signature, history] : table) {
        for (const auto& crash : history.crashes) {
            if (crash.first == replica)
                taken.emplace_back(signature, crash.second);
        }
    }
    removeCrash(table, replica);
    return taken;
}

auto isStartDelayed(const CrashHistoryTable& table, std::uint64_t signature, TimePoint now) -> bool
{
    const auto history = table.find(signature);
    return history != table.end() && now < history->second.startNotBefore;
}

auto takeBlamedSignatures(CrashHistoryTable& table, TimePoint now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> blamed;
    for (auto entry = table.begin(); entry != table.end();) {
        auto& history = entry->second;
        std::erase_if(history.crashes, [&](const auto& crash) { return now - crash.second >= crashHistoryTtl; });
        const auto isBlamed = history.crashes.size() > 1 && reportsHaveArrived(history, now);
        if (isBlamed)
            blamed.push_back(entry->first);
        entry = isBlamed || history.crashes.empty() ? table.erase(entry) : std::next(entry);
    }
    return blamed;
}

auto nextStartDelayEnd(const CrashHistoryTable& table, TimePoint now) -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto& [signature, history] : table) {
        for (const auto time : { history.startNotBefore, history.copiesWaitUntil }) {
            if (time > now)
                next = std::min(next, time);
        }
    }
    return next;
}

}
