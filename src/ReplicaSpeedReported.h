#pragma once

/// Event: another instance has observed the speed of a replica.

#include "Identifiers.h"
#include "ServerSpeed.h"
#include "WorkType.h"

namespace jayhold {

struct ReplicaSpeedReported {
    ReplicaId replica {};
    /// Ignored unless it is the work of the replica's role.
    WorkType work = WorkType::Prefill;
    HeardSpeed speed;
};

}
