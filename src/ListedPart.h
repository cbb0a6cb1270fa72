#pragma once

/// A part of prompts in the list of blocked parts that all instances share.

#include <cstdint>

namespace jayhold {

struct ListedPart {
    std::uint64_t part = 0;
    /// Requests with the part that ran since it was blocked, to see whether it still crashes engines.
    std::uint32_t trials = 0;
    /// Whether the part may well be harmless: requests with it were answered before, or another part was at all of its
    /// crashes.
    bool isDoubtful = false;

    auto operator==(const ListedPart&) const -> bool = default;
};

}
