#pragma once

/// The faults that a test or a scenario can switch on in the stand-in platform.

#include "JsonReader.h"

namespace jayhold::standin {

enum class PlatformOutage {
    None,
    /// Every call is answered 503.
    Refusing,
    /// Connections are accepted and no call is answered until the fault ends.
    Hanging,
};

struct PlatformFaults {
    PlatformOutage outage = PlatformOutage::None;
    /// Added before every answer.
    std::int64_t delayMilliseconds = 0;
    /// This many of the next writes take effect and are not answered.
    std::int64_t loseReplies = 0;
    /// Age of the instance list that is shown.
    std::int64_t listLagMilliseconds = 0;
};

/// Keys that are absent keep their present value; `down` is true, false or "hang".
auto readPlatformFaults(JsonReader& reader, const PlatformFaults& current) -> boost::leaf::result<PlatformFaults>;

}
