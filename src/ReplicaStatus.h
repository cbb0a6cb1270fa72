#pragma once

/// A backend server of a model service as an entry instance knows it.

#include "BackendServer.h"
#include "EngineLoad.h"
#include "Identifiers.h"
#include "PoolRole.h"

namespace jayhold {

struct ReplicaStatus {
    ReplicaId id {};
    BackendServer backend;
    PoolRole role = PoolRole::Decode;
    /// The last load report; its sequence is 0 before the first.
    EngineLoad load;
};

}
