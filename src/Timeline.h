#pragma once

/// The event time line: the event logs of all processes merged into causal order, and reduced to
/// the events of one request or one configuration version.

#include "LoggedEvent.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jayhold {

/// Which events to keep; an absent criterion keeps all.
struct TimelineFilter {
    std::optional<std::string> request;
    std::optional<std::string> configurationVersion;
};

/// @param logs one log for each process, each in its own order.
/// @return all events by hybrid time, then instance, then sequence.
auto mergeTimelines(std::span<const std::vector<LoggedEvent>> logs) -> std::vector<LoggedEvent>;

/// @return the events that the filter keeps, in the same order.
auto filterTimeline(std::span<const LoggedEvent> events, const TimelineFilter& filter) -> std::vector<LoggedEvent>;

}
