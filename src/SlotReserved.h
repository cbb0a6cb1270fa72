#pragma once

/// Event: the decode engine has reserved a slot for a request. The prefill begins now, or the decode if
/// the decode engine prefills itself.

#include "Identifiers.h"

namespace jayhold {

struct SlotReserved {
    RequestId request;
    Attempt attempt;
};

}
