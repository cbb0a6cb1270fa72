#pragma once

/// Event: the fallback of a request has ended without completing the response, was closed because its engine went on
/// when the request had gone elsewhere, or is superfluous because the current attempt has brought a token.

#include "Identifiers.h"

namespace jayhold {

struct FallbackEnded {
    RequestId request;
    /// Number under which the engine knows the attempt.
    Attempt attempt;
};

}
