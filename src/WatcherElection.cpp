#include "WatcherElection.h"

#include <algorithm>
#include <functional>

namespace jayhold {

namespace {

/// @return this instance's fraction of the maximum election delay.
auto electionDelay(const WatcherElection& election) -> Duration
{
    constexpr std::size_t stepCount = 64;
    const auto step = std::hash<std::string> {}(election.instance) % stepCount;
    return election.settings.maxElectionDelay * static_cast<Duration::rep>(step) / static_cast<Duration::rep>(stepCount);
}

auto shouldBecomeWatcher(WatcherElection& election, TimePoint now) -> bool
{
    if (election.watchers.empty())
        return true;
    if (election.watchers.size() >= election.settings.watchersPerZone) {
        election.watcherShortageSince = {};
        return false;
    }
    if (election.watcherShortageSince == TimePoint())
        election.watcherShortageSince = now;
    return now - election.watcherShortageSince >= electionDelay(election);
}

/// If there are too many watchers, those whose names sort first remain.
auto shouldStepDown(const WatcherElection& election) -> bool
{
    return precedingWatchers(election) >= election.settings.watchersPerZone;
}

}

auto precedingWatchers(const WatcherElection& election) -> std::size_t
{
    const auto count = std::ranges::count_if(election.watchers, [&](const auto& watcher) { return watcher.first < election.instance; });
    return static_cast<std::size_t>(count);
}

auto updateWatcher(WatcherElection& election, TimePoint now, const std::string& instance, bool isConnected) -> void
{
    if (isConnected)
        election.watchers[instance] = now;
    else
        election.watchers.erase(instance);
}

auto updateElection(WatcherElection& election, TimePoint now) -> bool
{
    std::erase_if(election.watchers, [&](const auto& watcher) { return now - watcher.second > election.settings.watcherTimeout; });
    const auto wasWatching = election.isWatching;
    election.isWatching = wasWatching ? !shouldStepDown(election) : shouldBecomeWatcher(election, now);
    if (election.isWatching)
        election.watcherShortageSince = {};
    return election.isWatching != wasWatching;
}

}
