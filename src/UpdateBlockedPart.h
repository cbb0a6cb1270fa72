#pragma once

/// Action: change the list of blocked prompt parts that all instances share.

#include "BlockedPartChange.h"

#include <cstdint>

namespace jayhold {

struct UpdateBlockedPart {
    std::uint64_t part;
    BlockedPartChange change;
    /// Number of trials on which a BeginTrial change is based.
    std::uint32_t trials = 0;
    /// Whether a part that is added may well be harmless, see ListedPart.
    bool isDoubtful = false;
};

}
