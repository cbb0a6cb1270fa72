#pragma once

/// Decides how many replicas of a model service should prefill and how many decode, as a pure state
/// machine. It answers lasting imbalance, such as decode engines without free memory beside idle
/// prefill engines: a change of role takes seconds, so bursts are left to the placement.

#include "BackendServer.h"
#include "RoleDemand.h"
#include "Time.h"

#include <optional>
#include <vector>

namespace jayhold {

/// What a prefill counts beside a decode engine's full memory. Prompts can queue for some tenths of a
/// second within the target of a first token, while a decode without memory is refused or late. Of 0.3,
/// 0.5 and 1.0, the middle one served most over 24 days of two sites.
inline constexpr double prefillWeight = 0.5;

struct RoleBalanceSettings {
    /// Time over which the work is averaged; longer than the bursts of some seconds.
    Duration window = std::chrono::seconds(15);
    /// Time after the first work that says nothing yet, because prefills come before the decodes, which
    /// last for seconds.
    Duration rampUp = std::chrono::seconds(3);
    /// Shortest time of observation before the first change, the ramp-up included.
    Duration warmUp = std::chrono::seconds(8);
    /// Time from one change to the next, in which the first takes effect.
    Duration cooldown = std::chrono::seconds(12);
};

struct RoleBalance {
    RoleBalanceSettings settings;
    double prefillWork = 0;
    double decodeWork = 0;
    /// Since when there has been enough work to judge by.
    std::optional<TimePoint> busySince;
    bool hasAverage = false;
    TimePoint observedAt {};
    TimePoint changedAt {};
};

/// Takes the demand of a moment.
auto observeDemand(RoleBalance& balance, TimePoint now, const RoleDemand& demand) -> void;

/// @return how many replicas should change their role: positive from prefill to decode, negative the
/// other way, zero for none now.
auto wantedRoleChange(const RoleBalance& balance, TimePoint now, const RoleDemand& demand) -> int;

/// @return the servers of one role in the order in which they are best spared: the zone that has most of
/// those left gives up the next one, so that each zone keeps both roles if it can.
auto rankForRoleChange(std::vector<BackendServer> servers) -> std::vector<BackendServer>;

/// A change has been ordered.
auto recordRoleChange(RoleBalance& balance, TimePoint now) -> void;

}
