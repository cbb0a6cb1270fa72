#pragma once

/// Action: a replica has served a request after its pause and gets work as before it.

#include "Identifiers.h"

namespace jayhold {

struct ReplicaReturned {
    ReplicaId replica;
};

}
