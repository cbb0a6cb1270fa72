#pragma once

/// Event: the decode engine that a prefill was started for has no seat or memory for it. The prefill
/// has not begun.

#include "FailureKind.h"
#include "Identifiers.h"

namespace jayhold {

struct SeatRefused {
    RequestId request;
    Attempt attempt;
    FailureKind failure;
};

}
