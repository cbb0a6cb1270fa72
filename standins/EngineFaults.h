#pragma once

/// The faults that a test or a scenario can switch on in a stand-in engine.

#include "JsonReader.h"

namespace jayhold::standin {

struct EngineFaults {
    /// KV transfers out of this engine stall.
    bool stallTransfers = false;
    /// Calls except those to /admin/ get no response, and no token is emitted; connections stay
    /// open.
    bool frozen = false;
    /// Every prefill and decode is rejected as busy.
    bool refuseAll = false;
    /// The process exits when it decodes a prompt that contains `crash-engine`.
    bool crashOnMarker = false;
    /// New prefills and decodes are rejected with status 503.
    bool leaving = false;
    /// Delay added before every response.
    std::int64_t delayMilliseconds = 0;
    /// Decode streams are aborted after this many tokens; 0 disables the fault.
    std::int64_t dropAfterTokens = 0;
    /// Number of upcoming cache changes that are lost; their sequence numbers are used up.
    std::int64_t cacheEventGap = 0;
};

/// Absent keys keep their current value.
auto readEngineFaults(JsonReader& reader, const EngineFaults& current) -> boost::leaf::result<EngineFaults>;

}
