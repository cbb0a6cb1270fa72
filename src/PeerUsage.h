#pragma once

/// Event: the usage of the replicas by the other entry instances, according to their recent reports. It
/// replaces the previous event.

#include "ReplicaUsage.h"

#include <vector>

namespace jayhold {

struct PeerUsage {
    std::vector<ReplicaUsage> usages;
};

}
