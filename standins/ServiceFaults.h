#pragma once

/// The faults that a test or a scenario can switch on in the stand-in for a plain service.

#include "JsonReader.h"

namespace jayhold::standin {

struct ServiceFaults {
    /// The process exits when the next call arrives, before it runs.
    bool crashBefore = false;
    /// The process exits after the next call has run, before its response.
    bool crashAfter = false;
    /// Calls are rejected with status 503 and do not run.
    bool leaving = false;
    /// Delay added before a call runs.
    std::int64_t delayMilliseconds = 0;
    /// Number of upcoming calls that run but get no response.
    std::int64_t dropReplies = 0;
};

/// Absent keys keep their current value.
auto readServiceFaults(JsonReader& reader, const ServiceFaults& current) -> boost::leaf::result<ServiceFaults>;

}
