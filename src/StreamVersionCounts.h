#pragma once

/// Counters of the software versions of streams at one instance.

#include <cstdint>

namespace jayhold {

struct StreamVersionCounts {
    /// Take-ups by where the version was found.
    std::uint64_t memory = 0;
    std::uint64_t record = 0;
    std::uint64_t defaultVersion = 0;
    std::uint64_t onlyVersion = 0;
    std::uint64_t unknown = 0;
    /// Take-ups that were refused because the store could not be read; part of unknown.
    std::uint64_t storeAway = 0;
    /// Writes of the records of this instance, and of states of services.
    std::uint64_t recordWrites = 0;
    std::uint64_t stateWrites = 0;
    /// Streams whose first event waited for long, or was sent without a record.
    std::uint64_t lateRecords = 0;
};

}
