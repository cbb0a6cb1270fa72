#pragma once

/// The limits that backend servers name: the calls a second that a server takes from all instances
/// together. The newest observation of a server counts, and a new process of it has no limit.

#include "Time.h"

#include <map>
#include <optional>
#include <string>

namespace jayhold {

/// What one response of a backend server says about its limit.
struct LimitObservation {
    std::string backend;
    std::string incarnation;
    /// Calls a second; absent if the response names no limit.
    std::optional<double> perSecond;
    /// When the call was sent to which the server responded.
    TimePoint sentAt {};
    TimePoint observedAt {};
};

struct BackendLimits {
    /// By id of the backend server. Servers that have never named a limit have no entry.
    std::map<std::string, LimitObservation> observations;
};

/// Handles an observation. A response without a limit to a call that was sent before the last observation
/// is ignored, because the server may have named its limit since.
/// @return whether the limit of the server has changed.
auto recordLimit(BackendLimits& limits, LimitObservation observation) -> bool;

/// @return the limit that the process of the backend server has named, if it has one now.
auto limitOf(const BackendLimits& limits, const std::string& backend, const std::string& incarnation) -> std::optional<double>;

}
