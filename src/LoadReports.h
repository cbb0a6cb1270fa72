#pragma once

/// Handles load reports of backend servers: updates the usage by peers, and cancels requests that a
/// backend server still holds memory for but the shard no longer runs there.

#include "DecisionContext.h"
#include "ReplicaLoad.h"

namespace jayhold {

auto handle(DecisionContext& context, const ReplicaLoad& event) -> void;
auto handle(DecisionContext& context, const PeerUsage& event) -> void;

}
