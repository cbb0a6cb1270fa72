#pragma once

/// Event: the decode engine has not reserved a slot for the replacement of a silent attempt, which goes on.

#include "FailureKind.h"
#include "Identifiers.h"

namespace jayhold {

struct ReplacementRefused {
    RequestId request;
    ReplacementNumber number;
    FailureKind failure;
};

}
