#pragma once

/// An instance's copy of a document whose versions only rise, as a pure state machine: it accepts
/// a version from any source if it is higher than its own, and asks a peer that has a higher one.

#include "HttpEndpoint.h"
#include "Time.h"

#include <cstdint>
#include <optional>

namespace jayhold {

struct VersionedCopy {
    /// 0 while no version is known.
    std::int64_t version = 0;
    /// Until when a fetch that is under way may take; a later report starts another.
    TimePoint fetchingUntil {};
};

/// A peer said that it has a version.
/// @param fetchTime the longest time that a fetch takes.
/// @return whether to fetch it from that peer now.
auto shouldFetch(VersionedCopy& copy, TimePoint now, std::int64_t peerVersion, Duration fetchTime) -> bool;

/// A fetch ended, with or without success.
auto fetchEnded(VersionedCopy& copy) -> void;

/// A version arrived, from the platform, a peer or an operator.
/// @return whether it is higher than every earlier one and is the copy now.
auto acceptIfNewer(VersionedCopy& copy, std::int64_t version) -> bool;

}
