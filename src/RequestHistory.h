#pragma once

/// The history of one request from the logs of all instances: its own events, and what the instances
/// that handled it believed meanwhile of the backend servers and the store.

#include "LogParser.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct RequestEvent {
    ParsedLogLine line;
    /// Whether the line names the request; the others tell what surrounded it.
    bool namesRequest = true;
};

struct RequestHistory {
    /// In order of time; own lines that lost their time come last.
    std::vector<RequestEvent> events;
    /// The last outcome that is logged, such as "refused: overloaded".
    std::string outcome;
    /// What decided the outcome, in words.
    std::string cause;
};

/// @param lines of any instances, in any order; a line that stands twice counts once.
/// @param request its identifier; of an engine's identifier, the number of the attempt is ignored.
auto explainRequest(std::span<const ParsedLogLine> lines, std::string_view request) -> RequestHistory;

}
