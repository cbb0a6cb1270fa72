#pragma once

/// Changes of an entry in the list of blocked prompt parts.

#include <cstdint>

namespace jayhold {

enum class BlockedPartChange : std::uint8_t {
    Add,
    Remove,
    /// Counts a trial of the part, if its number of trials is still the one that this instance knows.
    BeginTrial,
};

}
