#pragma once

/// An instance's copy of a document with increasing versions, as a pure state machine. It accepts a
/// version from any source if it is higher than its own, and fetches higher versions from peers.

#include "HttpEndpoint.h"
#include "Time.h"

#include <cstdint>
#include <optional>

namespace jayhold {

struct VersionedCopy {
    /// 0 while no version is known.
    std::int64_t version = 0;
    /// Deadline of the fetch in progress. A version reported by a peer after it starts another fetch.
    TimePoint fetchingUntil {};
};

/// Handles a peer's report of the version that it has.
/// @param fetchTimeout maximum duration of a fetch.
/// @return whether to start a fetch from that peer now.
auto shouldFetch(VersionedCopy& copy, TimePoint now, std::int64_t peerVersion, Duration fetchTimeout) -> bool;

/// Handles the end of a fetch, successful or not.
auto fetchEnded(VersionedCopy& copy) -> void;

/// Handles a version from the platform, a peer or an operator.
/// @return whether it is higher than all earlier versions and has replaced the copy.
auto acceptIfNewer(VersionedCopy& copy, std::int64_t version) -> bool;

}
