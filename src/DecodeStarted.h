#pragma once

/// Event: the decode engine has imported the KV cache and sent its first token of this attempt.

#include "Identifiers.h"

namespace jayhold {

struct DecodeStarted {
    RequestId request;
    Attempt attempt;
};

}
