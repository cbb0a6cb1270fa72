#pragma once

/// Decides how many replicas of a model service should prefill and how many decode, as a pure state
/// machine. It reacts to lasting imbalance, such as decode engines without free memory next to idle
/// prefill engines. A change of role takes seconds, so bursts are handled by the placement.

#include "BackendServer.h"
#include "RoleDemand.h"
#include "Time.h"

#include <optional>
#include <vector>

namespace jayhold {

/// Weight of a prefill relative to a decode engine whose memory is full. Prompts can queue for several
/// tenths of a second and still meet the first-token target, while a decode without memory is refused
/// or misses its target. With the weights 0.3 and 1.0, fewer requests were served over 24 days of traffic
/// at two sites.
inline constexpr double prefillWeight = 0.5;

struct RoleBalanceSettings {
    /// Averaging time of the work. It exceeds the duration of bursts, which is some seconds.
    Duration window = std::chrono::seconds(15);
    /// The first work is ignored for this time, because prefills come before the decodes, which last
    /// for seconds.
    Duration rampUp = std::chrono::seconds(3);
    /// Minimum time of observation before the first change, the ramp-up included.
    Duration warmUp = std::chrono::seconds(8);
    /// Minimum time between two changes. The first takes effect within it.
    Duration cooldown = std::chrono::seconds(12);
};

struct RoleBalance {
    RoleBalanceSettings settings;
    double prefillWork = 0;
    double decodeWork = 0;
    /// Since when there has been enough work for a decision.
    std::optional<TimePoint> busySince;
    bool hasAverage = false;
    TimePoint observedAt {};
    TimePoint changedAt {};
};

/// Updates the averages with the current demand.
auto observeDemand(RoleBalance& balance, TimePoint now, const RoleDemand& demand) -> void;

/// @return how many replicas should change their role: positive from prefill to decode, negative from
/// decode to prefill, zero for no change now.
auto desiredRoleChange(const RoleBalance& balance, TimePoint now, const RoleDemand& demand) -> int;

/// @return the servers of one role in the order in which they should change it. Each next server comes
/// from the zone with the most remaining servers, so that each zone keeps both roles if possible.
auto rankForRoleChange(std::vector<BackendServer> servers) -> std::vector<BackendServer>;

/// Records that a change has been ordered, which starts the cooldown.
auto recordRoleChange(RoleBalance& balance, TimePoint now) -> void;

}
