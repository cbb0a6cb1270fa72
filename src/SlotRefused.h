#pragma once

/// Event: the chosen decode engine has no slot or memory for the request. Neither prefill nor decode
/// has begun.

#include "FailureKind.h"
#include "Identifiers.h"

namespace jayhold {

struct SlotRefused {
    RequestId request;
    Attempt attempt;
    FailureKind failure;
};

}
