#pragma once

/// The faults that a test or a scenario can switch on in the stand-in platform.

#include "JsonReader.h"

namespace jayhold::standin {

enum class PlatformOutage {
    None,
    /// Every call fails with status 503.
    Refusing,
    /// Connections are accepted, but no call gets a response until the fault is cleared.
    Hanging,
};

struct PlatformFaults {
    PlatformOutage outage = PlatformOutage::None;
    /// Delay added before every response.
    std::int64_t delayMilliseconds = 0;
    /// Number of upcoming writes that take effect but get no response.
    std::int64_t loseReplies = 0;
    /// Age of the instance list that is served.
    std::int64_t listLagMilliseconds = 0;
};

/// Absent keys keep their current value; `down` is true, false or "hang".
auto readPlatformFaults(JsonReader& reader, const PlatformFaults& current) -> boost::leaf::result<PlatformFaults>;

}
