#include "SpeedReporter.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

namespace {

/// A lasting speed changes little within this time, which bounds the bytes for a server.
constexpr Duration reportInterval = std::chrono::seconds(1);
constexpr Duration logInterval = std::chrono::seconds(10);
constexpr double minLoggedChange = 0.25;
/// Entries of servers that are not reported any more are dropped after this time.
constexpr Duration entryTtl = std::chrono::minutes(1);

auto keyOf(const SpeedReport& report) -> std::pair<std::string, std::string>
{
    return { report.backend, report.incarnation };
}

/// @return whether a time has passed since the given one, which may be the start of time.
auto hasPassed(TimePoint since, TimePoint now, Duration time) -> bool
{
    return since == TimePoint::min() || now - since >= time;
}

}

auto selectReports(SpeedReporter& reporter, TimePoint now, std::vector<SpeedReport> observed) -> std::vector<SpeedReport>
{
    std::erase_if(reporter.entries, [&](const auto& entry) { return hasPassed(entry.second.reportedAt, now, entryTtl); });
    std::erase_if(observed, [&](const SpeedReport& report) {
        const auto known = reporter.entries.find(keyOf(report));
        return known != reporter.entries.end() && !hasPassed(known->second.reportedAt, now, reportInterval);
    });
    const auto lastReport = [&](const SpeedReport& report) {
        const auto known = reporter.entries.find(keyOf(report));
        return known == reporter.entries.end() ? TimePoint::min() : known->second.reportedAt;
    };
    std::ranges::stable_sort(observed, {}, lastReport);
    observed.resize(std::min(observed.size(), maxSpeedReportsPerMessage));
    for (const auto& report : observed)
        reporter.entries[keyOf(report)].reportedAt = now;
    return observed;
}

auto isToBeLogged(SpeedReporter& reporter, TimePoint now, const SpeedReport& report) -> bool
{
    auto& entry = reporter.entries[keyOf(report)];
    if (!hasPassed(entry.loggedAt, now, logInterval) || std::abs(report.speed - entry.loggedSpeed) < minLoggedChange)
        return false;
    entry.loggedAt = now;
    entry.loggedSpeed = report.speed;
    return true;
}

}
