#include "Timeline.h"

#include <algorithm>
#include <tuple>

namespace jayhold {

namespace {

auto hasField(const LoggedEvent& event, std::string_view key, const std::optional<std::string>& wanted) -> bool
{
    if (!wanted)
        return true;
    return std::ranges::any_of(event.fields, [&](const LogField& field) { return field.key == key && field.value == *wanted; });
}

}

auto mergeTimelines(std::span<const std::vector<LoggedEvent>> logs) -> std::vector<LoggedEvent>
{
    std::vector<LoggedEvent> merged;
    for (const auto& log : logs)
        merged.insert(merged.end(), log.begin(), log.end());
    std::ranges::sort(merged, {}, [](const LoggedEvent& event) {
        return std::tuple(event.time, std::string_view(event.instance), event.sequence);
    });
    return merged;
}

auto filterTimeline(std::span<const LoggedEvent> events, const TimelineFilter& filter) -> std::vector<LoggedEvent>
{
    std::vector<LoggedEvent> kept;
    for (const auto& event : events) {
        if (hasField(event, "request", filter.request) && hasField(event, "version", filter.configurationVersion))
            kept.push_back(event);
    }
    return kept;
}

}
