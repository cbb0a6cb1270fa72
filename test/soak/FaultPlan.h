#pragma once

/// The faults of one soak run, drawn from a seed. Faults on different targets overlap; on one target
/// they follow each other.

#include "Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold::soak {

enum class FaultKind : std::uint8_t {
    FreezeEntry,
    KillEntry,
    /// SIGTERM, and a new process once the old one has ended.
    ReplaceEntry,
    /// SIGHUP.
    ReloadSettings,
    /// All entry instances at once.
    KillAllEntries,
    FreezeBackend,
    KillBackend,
    /// Marked as leaving in the store, and back later.
    BackendLeaves,
    CutLink,
    ResetLink,
    StallLink,
    /// Requests arrive and answers do not.
    StallAnswers,
    SlowLink,
    StoreDown,
    StoreMalformed,
    StoreHistoryCompacted,
    NewConfiguration,
    Count,
};

struct PlannedFault {
    FaultKind kind {};
    /// Index of the entry instance, backend server or link; 0 where there is only one.
    std::size_t target = 0;
    Duration start {};
    Duration length {};
};

struct FleetSize {
    std::size_t entries = 3;
    std::size_t backends = 7;
    /// Those of the backend servers come first, then those from each entry instance to the store.
    std::size_t links = 10;
};

/// @param duration time in which all faults begin and end.
/// @return the faults in the order of their start.
auto planFaults(std::uint64_t seed, Duration duration, const FleetSize& size) -> std::vector<PlannedFault>;

auto name(FaultKind kind) -> std::string_view;

/// @return one line for the report.
auto describe(const PlannedFault& fault) -> std::string;

}
