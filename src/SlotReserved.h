#pragma once

/// Event: the decode engine keeps a seat for a request, whose prefill begins now, or its decode where
/// the decode engine prefills by itself.

#include "Identifiers.h"

namespace jayhold {

struct SlotReserved {
    RequestId request;
    Attempt attempt;
};

}
