#include "PlannedMaintenance.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <thread>

namespace jayhold::soak {

using std::chrono::milliseconds;

namespace {

/// Time after the store's acknowledgement within which a configuration must be active everywhere.
constexpr Duration maxPropagationTime = std::chrono::seconds(2);
/// A healthy backend server may fall silent for about this long.
constexpr Duration backendPause = milliseconds(1'300);
constexpr int pauseCount = 2;
/// A restore that lasts longer than the longest watch is noticed by every call.
constexpr Duration restoreTime = milliseconds(200);
constexpr int restoreCount = 2;
constexpr Duration versionPollInterval = milliseconds(25);
/// The changes before a restore must be more than the writes that follow it.
constexpr std::size_t minExtraChanges = 10;
constexpr std::size_t extraChangeVariants = 20;
/// The part of the entry instances that are restarted at the same time.
constexpr std::size_t restartGroups = 3;

/// Reads the active versions of all entry instances again and again, at least once.
auto monitorVersions(VersionHistory& history, SoakFleet& fleet, Duration time) -> void
{
    const auto end = monotonicNow() + time;
    do {
        recordVersions(history, fleet.activeVersions());
        std::this_thread::sleep_for(versionPollInterval);
    } while (monotonicNow() < end);
}

/// Restores the store after many changes of the configuration, and changes it again soon after.
auto restoreAfterChanges(SoakFleet& fleet, const FleetSize& size, std::mt19937_64& random) -> std::vector<Violation>
{
    constexpr std::uint64_t maxDelayMilliseconds = 300;
    VersionHistory history;
    const auto randomDelay = [&] { return milliseconds(random() % maxDelayMilliseconds); };
    fleet.saveStoreCopy();
    const auto changes = size.backends + 2 * size.entries + minExtraChanges + random() % extraChangeVariants;
    for (std::size_t change = 0; change < changes; ++change)
        fleet.putConfiguration();
    monitorVersions(history, fleet, milliseconds(100) + randomDelay());
    fleet.setStoreDown(true);
    monitorVersions(history, fleet, restoreTime);
    fleet.restoreStore();
    fleet.setStoreDown(false);
    monitorVersions(history, fleet, randomDelay());
    fleet.putConfiguration();
    monitorVersions(history, fleet, maxPropagationTime);
    for (const auto& entry : fleet.findOutdatedEntries())
        history.violations.push_back({ "a configuration is active everywhere in time after a restore of the store", "", entry, monotonicNow() - maxPropagationTime, monotonicNow() });
    return std::move(history.violations);
}

/// Lets all backend servers pause beside a configuration with lower values, which ends no request that was read without
/// an answer, and raises the values again.
auto lowerValues(SoakFleet& fleet, MaintenanceRecord& record, std::mt19937_64& random) -> void
{
    constexpr Duration minPause = milliseconds(1'000);
    constexpr std::uint64_t pauseVariants = 600;
    // The requests that an earlier pause has delayed must end first, because their check knows no lower limits.
    std::this_thread::sleep_for(callerTimeout);
    const auto pauseTime = minPause + milliseconds(random() % pauseVariants);
    const auto changeTime = milliseconds(random() % std::chrono::duration_cast<milliseconds>(pauseTime).count());
    record.lowValues.from = fleet.pauseBackendsBesideLowerValues(pauseTime, changeTime).from;
    std::this_thread::sleep_for(maxPropagationTime);
    for (const auto& entry : fleet.findOutdatedEntries())
        record.violations.push_back({ "a configuration is active everywhere in time", "", entry, monotonicNow() - maxPropagationTime, monotonicNow() });
    fleet.raiseValues();
    std::this_thread::sleep_for(maxPropagationTime);
    record.lowValues.until = monotonicNow();
}

}

auto performPlannedMaintenance(SoakFleet& fleet, const FleetSize& size, std::uint64_t seed) -> MaintenanceRecord
{
    MaintenanceRecord record;
    record.faultFreePeriod.from = monotonicNow();
    std::mt19937_64 random(seed);
    for (auto restore = 0; restore < restoreCount; ++restore)
        std::ranges::move(restoreAfterChanges(fleet, size, random), std::back_inserter(record.violations));
    // The first pause may leave nothing of the retry budgets.
    for (auto pause = 0; pause < pauseCount; ++pause) {
        record.pauses.push_back(fleet.pauseBackendsBesideChange(backendPause));
        std::this_thread::sleep_for(maxPropagationTime - backendPause);
        for (const auto& entry : fleet.findOutdatedEntries())
            record.violations.push_back({ "a configuration is active everywhere in time", "", entry, monotonicNow() - maxPropagationTime, monotonicNow() });
    }
    lowerValues(fleet, record, random);
    fleet.markLeaving(0, true);
    record.leavingSince = monotonicNow();
    const auto groupSize = std::max<std::size_t>(1, size.entries / restartGroups);
    for (std::size_t first = 0; first < size.entries; first += groupSize) {
        const auto count = std::min(groupSize, size.entries - first);
        for (const auto& problem : fleet.restartGracefully(first, count))
            record.violations.push_back({ "an entry instance shuts down gracefully", "", problem.text, problem.from, problem.until });
        if (!fleet.waitUntilReady(recoveryTime))
            record.violations.push_back({ "a restarted entry instance becomes ready", "", "edge-" + std::to_string(first) + " and " + std::to_string(count - 1) + " others", monotonicNow() - recoveryTime, monotonicNow() });
    }
    std::this_thread::sleep_for(SoakFleet::maxDeregistrationDelay);
    record.faultFreePeriod.until = monotonicNow();
    return record;
}

}
