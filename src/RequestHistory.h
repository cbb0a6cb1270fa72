#pragma once

/// The history of one request from the logs of all instances: its own events, and the events of backend
/// servers and the store that the instances handling it logged at the same time.

#include "LogParser.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct RequestEvent {
    ParsedLogLine line;
    /// Whether the line names the request; other lines are its context.
    bool namesRequest = true;
};

struct RequestHistory {
    /// Ordered by time; lines of the request without a time come last.
    std::vector<RequestEvent> events;
    /// The last logged outcome, such as "refused: overloaded".
    std::string outcome;
    /// The cause of the outcome, in words.
    std::string cause;
};

/// @param lines log lines of any instances, in any order; duplicate lines count once.
/// @param request identifier of the request; the attempt number in an engine's identifier is ignored.
auto explainRequest(std::span<const ParsedLogLine> lines, std::string_view request) -> RequestHistory;

}
