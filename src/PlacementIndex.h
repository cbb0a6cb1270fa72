#pragma once

/// Replicas that may get new work, by role and zone, least loaded first.

#include "Identifiers.h"
#include "PoolRole.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace jayhold {

/// Load and replica. The replica makes the order total.
using PlacementEntry = std::pair<std::uint64_t, ReplicaId>;
using ZoneIndex = std::set<PlacementEntry>;

struct PlacementIndex {
    std::map<ZoneId, ZoneIndex> prefill;
    std::map<ZoneId, ZoneIndex> decode;
    /// The same decode replicas by software version, so that few replicas of a version are found among many others.
    std::map<SoftwareVersionId, std::map<ZoneId, ZoneIndex>> decodeByVersion;

    auto ofRole(PoolRole role) -> std::map<ZoneId, ZoneIndex>& { return role == PoolRole::Prefill ? prefill : decode; }
};

}
