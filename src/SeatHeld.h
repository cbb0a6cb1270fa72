#pragma once

/// Event: the decode engine keeps a seat for a request, whose prefill begins now.

#include "Identifiers.h"

namespace jayhold {

struct SeatHeld {
    RequestId request;
    Attempt attempt;
};

}
