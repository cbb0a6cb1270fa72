#pragma once

/// The faults that a test or a scenario can switch on in the stand-in for a plain service.

#include "JsonReader.h"

namespace jayhold::standin {

struct ServiceFaults {
    /// The process exits when the next call arrives, before it runs.
    bool crashBefore = false;
    /// The process exits after the next call ran, before the answer.
    bool crashAfter = false;
    /// Calls are answered 503 and do not run.
    bool leaving = false;
    /// Added before a call runs.
    std::int64_t delayMilliseconds = 0;
    /// This many of the next calls run and are not answered.
    std::int64_t dropReplies = 0;
};

/// Keys that are absent keep their present value.
auto readServiceFaults(JsonReader& reader, const ServiceFaults& current) -> boost::leaf::result<ServiceFaults>;

}
