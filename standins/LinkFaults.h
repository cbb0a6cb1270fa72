#pragma once

/// The faults that a test or a scenario can switch on in the stand-in link.

#include "JsonReader.h"

namespace jayhold::standin {

struct LinkFaults {
    /// Closes the open connections and every new one.
    bool cut = false;
    /// Connections stay open but transfer no data.
    bool stall = false;
    /// Connections transfer no data from the target to the caller.
    bool stallResponses = false;
    /// Resets the open connections once; new ones are accepted.
    bool reset = false;
    /// Delay added to every chunk in both directions.
    std::int64_t delayMicroseconds = 0;
    /// Rate limit for each direction of a connection; 0 disables it.
    std::int64_t bytesPerSecond = 0;
};

/// Absent keys keep their current value.
auto readLinkFaults(JsonReader& reader, const LinkFaults& current) -> boost::leaf::result<LinkFaults>;

}
