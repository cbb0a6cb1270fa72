#pragma once

/// The faults that a test or a scenario can switch on in the stand-in link.

#include "JsonReader.h"

namespace jayhold::standin {

struct LinkFaults {
    /// Open connections are closed, and so is every new one.
    bool cut = false;
    /// Connections stay open and carry nothing.
    bool stall = false;
    /// Connections carry nothing from the target to the caller.
    bool stallResponses = false;
    /// Resets the open connections once; new ones are accepted.
    bool reset = false;
    /// Added to every piece in both directions.
    std::int64_t delayMicroseconds = 0;
    /// Rate of each direction of a connection; 0 for no limit.
    std::int64_t bytesPerSecond = 0;
};

/// Keys that are absent keep their present value.
auto readLinkFaults(JsonReader& reader, const LinkFaults& current) -> boost::leaf::result<LinkFaults>;

}
