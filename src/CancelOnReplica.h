#pragma once

/// Action: cancel what a backend server runs or holds for a request.

#include "Identifiers.h"

namespace jayhold {

struct CancelOnReplica {
    RequestId request;
    ReplicaId replica;
};

}
