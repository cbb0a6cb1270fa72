#pragma once

/// Event: the caller has the first event of the answer, from an engine of this software version. The request goes on only
/// at this version. The shard learns it from the events of the current attempt as well, so this event is needed only if
/// the shard had ended the attempt before.

#include "Identifiers.h"

#include <cstdint>

namespace jayhold {

struct StreamBound {
    RequestId request;
    SoftwareVersionId version;
    /// Tokens sent to the caller so far, over all attempts.
    std::uint32_t emittedTokens = 0;
};

}
