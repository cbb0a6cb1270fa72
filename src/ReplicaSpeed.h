#pragma once

/// What a shard has observed of the speed of a replica.

#include "Identifiers.h"
#include "ServerSpeed.h"
#include "WorkType.h"

namespace jayhold {

struct ReplicaSpeed {
    ReplicaId replica {};
    WorkType work = WorkType::Prefill;
    ObservedSpeed observed;
};

}
