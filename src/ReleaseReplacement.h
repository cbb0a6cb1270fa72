#pragma once

/// Action: give up the reservation of a slot for a replacement, whether it has been granted or is still asked for.

#include "Identifiers.h"

namespace jayhold {

struct ReleaseReplacement {
    RequestId request;
    ReplacementNumber number;
};

}
