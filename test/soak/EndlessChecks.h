#pragma once

/// A time in which some backend servers send bytes without end: in a head, in a body and in an event of a stream.

#include "SoakChecks.h"

namespace jayhold::soak {

struct EndlessRecord {
    TimePoint from {};
    TimePoint until {};
    /// The most memory in kB that each entry instance used meanwhile.
    std::vector<std::int64_t> peakMemory;
};

/// @return the highest of these.
auto peakMemory(const EndlessRecord& endless) -> std::int64_t;

/// Lists such backend servers for some seconds and watches the memory of the entry instances.
auto sendWithoutEnd(SoakFleet& fleet) -> EndlessRecord;

/// @return violations if an instance used more memory than it may, if callers that these servers got no request of were
/// not served meanwhile, or if one of the servers got no request, because the others then say nothing.
auto checkEndless(std::span<const CallRecord> calls, std::span<const BackendRun> runs, const EndlessRecord& endless) -> std::vector<Violation>;

}
