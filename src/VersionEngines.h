#pragma once

/// The live decode replicas of one software version.

#include "Time.h"

#include <cstdint>

namespace jayhold {

struct VersionEngines {
    std::uint32_t live = 0;
    /// Until when a replica is expected back after the last one went without having left.
    TimePoint awaitedUntil = TimePoint::min();
};

}
