#pragma once

/// Event: a prefill attempt failed.

#include "FailureKind.h"
#include "Identifiers.h"

namespace jayhold {

struct PrefillFailed {
    RequestId request;
    Attempt attempt;
    FailureKind failure;
};

}
