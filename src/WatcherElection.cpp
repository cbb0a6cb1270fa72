#include "WatcherElection.h"

#include <algorithm>
#include <functional>

namespace jayhold {

namespace {

/// @return a part of the longest hesitation that is this instance's own.
auto hesitation(const WatcherElection& duty) -> Duration
{
    constexpr std::size_t parts = 64;
    const auto part = std::hash<std::string> {}(duty.instance) % parts;
    return duty.settings.maxElectionDelay * static_cast<Duration::rep>(part) / static_cast<Duration::rep>(parts);
}

auto shouldStart(WatcherElection& duty, TimePoint now) -> bool
{
    if (duty.watchers.empty())
        return true;
    if (duty.watchers.size() >= duty.settings.watchersPerZone) {
        duty.understaffedSince = {};
        return false;
    }
    if (duty.understaffedSince == TimePoint())
        duty.understaffedSince = now;
    return now - duty.understaffedSince >= hesitation(duty);
}

/// Of too many watchers, those with the first names stay.
auto shouldStop(const WatcherElection& duty) -> bool
{
    const auto earlier = std::ranges::count_if(duty.watchers, [&](const auto& watcher) { return watcher.first < duty.instance; });
    return static_cast<std::size_t>(earlier) >= duty.settings.watchersPerZone;
}

}

auto updateWatcher(WatcherElection& duty, TimePoint now, const std::string& instance, bool isWatching) -> void
{
    if (isWatching)
        duty.watchers[instance] = now;
    else
        duty.watchers.erase(instance);
}

auto updateElection(WatcherElection& duty, TimePoint now) -> bool
{
    std::erase_if(duty.watchers, [&](const auto& watcher) { return now - watcher.second > duty.settings.watcherTimeout; });
    const auto before = duty.isWatching;
    duty.isWatching = before ? !shouldStop(duty) : shouldStart(duty, now);
    if (duty.isWatching)
        duty.understaffedSince = {};
    return duty.isWatching != before;
}

}
