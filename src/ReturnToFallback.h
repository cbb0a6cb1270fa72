#pragma once

/// Action: the attempt that replaced a silent one has failed; the fallback, whose engine may still complete the response,
/// is the current attempt again.

#include "Identifiers.h"

namespace jayhold {

struct ReturnToFallback {
    RequestId request;
    /// Number under which the driver reports the attempt from now on.
    Attempt attempt;
    /// The replica that the fallback runs on.
    ReplicaId replica;
};

}
