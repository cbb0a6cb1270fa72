#pragma once

/// Action: find out whether the process of a replica has ended, and report that by ProcessEnded.

#include "Identifiers.h"

namespace jayhold {

struct CheckProcess {
    ReplicaId replica;
};

}
