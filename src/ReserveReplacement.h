#pragma once

/// Action: reserve a slot at a decode engine for the attempt that would replace the running one, whose engine is
/// silent. The running attempt goes on meanwhile. The driver reports ReplacementReserved or ReplacementRefused.

#include "Identifiers.h"
#include "SlotMemory.h"

namespace jayhold {

struct ReserveReplacement {
    RequestId request;
    ReplacementNumber number;
    ReplicaId decode;
    SlotMemory slot;
};

}
