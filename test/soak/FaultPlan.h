#pragma once

/// The faults of one soak run, generated from a seed. Faults of different targets may overlap;
/// those of one target run one after the other.

#include "Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold::soak {

enum class FaultKind : std::uint8_t {
    FreezeEntry,
    KillEntry,
    /// Sends SIGTERM and starts a new process when the old one has exited.
    ReplaceEntry,
    /// Sends SIGHUP.
    ReloadSettings,
    /// Kills all entry instances at the same time.
    KillAllEntries,
    FreezeBackend,
    KillBackend,
    /// Marks the backend server as leaving in the store and later as ready again.
    BackendLeaves,
    CutLink,
    ResetLink,
    StallLink,
    /// Forwards requests and holds back responses.
    StallAnswers,
    SlowLink,
    StoreDown,
    /// The store sends malformed responses.
    StoreMalformed,
    /// The store discards its history of changes.
    StoreHistoryCompacted,
    NewConfiguration,
    /// The store goes back to a copy that was made when the fault began. Operators and backend servers write
    /// their objects again.
    StoreRestored,
    /// The backend server says in all its answers that it is leaving, and is then replaced. Its entry does not change.
    BackendSaysLeaving,
    /// The backend server turns all requests away and names a retry delay.
    BackendRejects,
    /// An engine leaves and is replaced by one with the next software version and another id.
    ReleaseEngine,
    /// The same, but the new engine has the id of the old one and a later start time.
    ReleaseEngineWithSameId,
    /// The streams of an engine pause, and go on.
    SilentEngine,
    /// An engine refuses all slot reservations.
    FullEngine,
    /// Callers lose the connections on which streams arrive.
    ResetCallers,
    Count,
};

struct PlannedFault {
    FaultKind kind {};
    /// Index of the entry instance, backend server or link; 0 if the kind of fault has a single
    /// target.
    std::size_t target = 0;
    Duration start {};
    Duration length {};
};

struct FleetSize {
    std::size_t entries = 3;
    std::size_t backends = 7;
    /// The links to the backend servers come first, then the links from each entry instance to the
    /// store.
    std::size_t links = 10;
};

/// @return index of the first backend server that is an engine: the prefill engine, which decode engines follow.
auto firstEngine(const FleetSize& size) -> std::size_t;

/// @param entries number of entry instances; if 0, the seed determines it. The fleets of half of the seeds have more
/// than the three instances of a zone that watch the store.
/// @param backends number of backend servers.
auto fleetSize(std::uint64_t seed, std::size_t entries, std::size_t backends) -> FleetSize;

/// @return whether the callers send requests that crash engines; so in a third of the seeds.
auto hasCrashingRequests(std::uint64_t seed) -> bool;

/// @param duration time within which all faults start and end.
/// @return the faults, ordered by start time.
auto planFaults(std::uint64_t seed, Duration duration, const FleetSize& size) -> std::vector<PlannedFault>;

/// @return whether the fault gives the software version of its target to another process.
auto isRelease(FaultKind kind) -> bool;

/// @return the release of a part of the engines, and then resets of the callers' connections while two versions serve.
auto planCalmRelease(const FleetSize& size) -> std::vector<PlannedFault>;

auto name(FaultKind kind) -> std::string_view;

/// @return a line of the report.
auto describe(const PlannedFault& fault) -> std::string;

}
