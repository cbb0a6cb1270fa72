#pragma once

/// Action: cancel what a backend server runs or holds for a request. A retry may go to the same replica
/// if there is no other, so a driver performs the actions for one request and replica in order.

#include "Identifiers.h"

namespace jayhold {

struct CancelOnReplica {
    RequestId request;
    ReplicaId replica;
    /// Whether the attempt there goes on as the fallback of the one that replaces it.
    bool becomesFallback = false;
};

}
