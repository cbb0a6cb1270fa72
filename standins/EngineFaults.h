#pragma once

/// The faults that a test or a scenario can switch on in a stand-in engine.

#include "JsonReader.h"

namespace jayhold::standin {

struct EngineFaults {
    /// KV transfers out of this engine stand still.
    bool stallTransfers = false;
    /// Nothing is answered and no token is made; connections stay open.
    bool frozen = false;
    /// Every prefill and decode is answered as busy.
    bool refuseAll = false;
    /// The process exits when it decodes a prompt that contains `crash-engine`.
    bool crashOnMarker = false;
    /// New work is answered 503.
    bool leaving = false;
    /// Added before every answer.
    std::int64_t delayMilliseconds = 0;
    /// Decode streams are cut after this many tokens; 0 for never.
    std::int64_t dropAfterTokens = 0;
    /// This many of the next cache changes are lost; their sequence numbers are used up.
    std::int64_t cacheEventGap = 0;
};

/// Keys that are absent keep their present value.
auto readEngineFaults(JsonReader& reader, const EngineFaults& current) -> boost::leaf::result<EngineFaults>;

}
