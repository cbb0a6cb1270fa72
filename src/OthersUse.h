#pragma once

/// Event: what the other entry instances use of the replicas, as far as they have told lately. It
/// replaces what was told before.

#include "ReplicaUse.h"

#include <vector>

namespace jayhold {

struct OthersUse {
    std::vector<ReplicaUse> uses;
};

}
