#pragma once

/// The limits that backend servers name: the calls a second that a server takes from all instances
/// together. The newest observation of a server counts, and a new process of it has no limit.

#include "CallRate.h"
#include "Time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

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
    /// Whether a call of this instance got the response, not one of a peer.
    bool isOwn = true;
};

struct BackendLimits {
    /// Several times the servers of the largest fleet today. Limits of further servers, which peers may name, are ignored.
    std::size_t maxObservations = 4'096;
    /// By id of the backend server. Servers that have never named a limit have no entry.
    std::map<std::string, LimitObservation> observations;
};

/// Handles an observation. A response without a limit to a call that was sent before the last observation
/// is ignored, because the server may have named its limit since.
/// @return whether the limit of the server has changed.
auto recordLimit(BackendLimits& limits, LimitObservation observation) -> bool;

/// Forgets limits that no response has confirmed for a long time, so that an instance without a share learns
/// whether the server still has a limit.
/// @return whether any limit was forgotten.
auto forgetOldLimits(BackendLimits& limits, TimePoint now) -> bool;

/// A limit as instances report it to each other. Their clocks differ, so it carries its age.
struct LimitReport {
    std::string backend;
    std::string incarnation;
    /// Absent if the server names no limit any more.
    std::optional<double> perSecond;
    Duration age {};

    auto operator==(const LimitReport&) const -> bool = default;
};

/// @return the observations of this instance that are recent enough to be reported.
auto reportableLimits(const BackendLimits& limits, TimePoint now) -> std::vector<LimitReport>;

/// Divides a limit among the instances. In a large fleet only some of them get a share, because each of these
/// can save up a call, and the server accepts a limited burst.
/// @param instances names of all instances.
/// @param isSettled whether the instance has been running for some time, so that it replaces no other one in
/// its share of the limit.
/// @return the share of the instance, which is zero if it may not call the server.
auto divideLimit(double perSecond, std::string_view backend, std::string_view instance, std::span<const std::string> instances, bool isSettled) -> CallRate;

}
