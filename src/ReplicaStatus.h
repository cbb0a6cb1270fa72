#pragma once

/// What an entry instance knows of a backend server of a model service.

#include "BackendServer.h"
#include "EngineLoad.h"
#include "Identifiers.h"
#include "PoolRole.h"

namespace jayhold {

struct ReplicaStatus {
    ReplicaId id {};
    BackendServer backend;
    PoolRole role = PoolRole::Decode;
    /// The latest load report; its sequence number is 0 before the first.
    EngineLoad load;
};

}
