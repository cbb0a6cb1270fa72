#pragma once

/// The event timeline: the event logs of all processes, merged in causal order and filtered by
/// request or configuration version.

#include "LoggedEvent.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jayhold {

/// The events to keep; an absent criterion matches all events.
struct TimelineFilter {
    std::optional<std::string> request;
    std::optional<std::string> configurationVersion;
};

/// @param logs one log for each process, each in its own order.
/// @return all events by hybrid time, then instance, then sequence.
auto mergeTimelines(std::span<const std::vector<LoggedEvent>> logs) -> std::vector<LoggedEvent>;

/// @return the events that match the filter, in the same order.
auto filterTimeline(std::span<const LoggedEvent> events, const TimelineFilter& filter) -> std::vector<LoggedEvent>;

}
