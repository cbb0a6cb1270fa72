#pragma once

/// Action: give the caller its final answer at once. Nothing is held for the request any more.

#include "Identifiers.h"
#include "Outcome.h"
#include "RefusalReason.h"
#include "Time.h"

namespace jayhold {

struct Refuse {
    RequestId request;
    RefusalReason reason;
    Outcome outcome;
    /// Time after which the caller may come back, spread at random; zero where it should not.
    Duration retryAfter;
};

}
