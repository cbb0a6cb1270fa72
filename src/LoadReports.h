#pragma once

/// Takes load reports of backend servers: what others use, and what is held for requests that the
/// shard does not run there any more.

#include "DecisionContext.h"
#include "ReplicaLoad.h"

namespace jayhold {

auto handle(DecisionContext& context, const ReplicaLoad& event) -> void;
auto handle(DecisionContext& context, const PeerUsage& event) -> void;

}
