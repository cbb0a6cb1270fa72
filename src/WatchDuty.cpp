#include "WatchDuty.h"

#include <algorithm>
#include <functional>

namespace jayhold {

namespace {

/// @return a part of the longest hesitation that is this instance's own.
auto hesitation(const WatchDuty& duty) -> Duration
{
    constexpr std::size_t parts = 64;
    const auto part = std::hash<std::string> {}(duty.instance) % parts;
    return duty.settings.longestHesitation * static_cast<Duration::rep>(part) / static_cast<Duration::rep>(parts);
}

auto shouldStart(WatchDuty& duty, TimePoint now) -> bool
{
    if (duty.watchers.empty())
        return true;
    if (duty.watchers.size() >= duty.settings.watchersPerZone) {
        duty.shortSince = {};
        return false;
    }
    if (duty.shortSince == TimePoint())
        duty.shortSince = now;
    return now - duty.shortSince >= hesitation(duty);
}

/// Of too many watchers, those with the first names stay.
auto shouldStop(const WatchDuty& duty) -> bool
{
    const auto earlier = std::ranges::count_if(duty.watchers, [&](const auto& watcher) { return watcher.first < duty.instance; });
    return static_cast<std::size_t>(earlier) >= duty.settings.watchersPerZone;
}

}

auto noteWatcher(WatchDuty& duty, TimePoint now, const std::string& instance, bool isWatching) -> void
{
    if (isWatching)
        duty.watchers[instance] = now;
    else
        duty.watchers.erase(instance);
}

auto updateDuty(WatchDuty& duty, TimePoint now) -> bool
{
    std::erase_if(duty.watchers, [&](const auto& watcher) { return now - watcher.second > duty.settings.newsLimit; });
    const auto before = duty.isWatching;
    duty.isWatching = before ? !shouldStop(duty) : shouldStart(duty, now);
    if (duty.isWatching)
        duty.shortSince = {};
    return duty.isWatching != before;
}

}
