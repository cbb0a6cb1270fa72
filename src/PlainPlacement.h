#pragma once

/// The explanation of where a call to a plain service would be sent.

#include "PlainBalancer.h"
#include "Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jayhold {

/// Mean delay after which a refused call can be sent again, if nothing else is known.
inline constexpr Duration plainRetryDelay = std::chrono::seconds(1);
/// Calls last some ten milliseconds, so a caller that returns earlier finds the same calls.
inline constexpr Duration minSlotRetryDelay = std::chrono::milliseconds(50);

struct PlainPlacement {
    struct Send {
        std::string server;
    };
    struct Wait {
        /// Expected wait for a slot.
        Duration expected {};
    };
    struct Refusal {
        /// The error that the caller would get.
        std::string type;
        /// Mean of the delay that the caller would be told.
        Duration retryAfter {};
    };
    std::variant<Send, Wait, Refusal> decision;
    std::vector<PlainCandidate> candidates {};
    /// Number of calls that wait for a slot, and of those that would get one earlier.
    std::size_t waiting = 0;
    std::size_t waitingBefore = 0;
    /// Duration of such a call at the mean speed of the servers; zero if it is not known.
    Duration callTime {};
};

/// Maximum number of servers in an explanation.
inline constexpr std::size_t maxListedPlainServers = 48;

}
