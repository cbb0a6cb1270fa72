#pragma once

/// Event: what the other entry instances use of the replicas, as far as they have told lately. It
/// replaces what was told before.

#include "ReplicaUsage.h"

#include <vector>

namespace jayhold {

struct PeerUsage {
    std::vector<ReplicaUsage> uses;
};

}
