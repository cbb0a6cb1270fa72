#pragma once

/// Checks the guarantees of the platform deployment against the records of callers and backend
/// servers.

#include "SoakCallers.h"
#include "SoakFleet.h"

#include <span>
#include <string>
#include <vector>

namespace jayhold::soak {

struct Violation {
    std::string guarantee;
    /// The affected request; empty if the violation concerns no single request.
    std::string request;
    std::string detail;
    /// The time that the check concerns; that of the request if there is one.
    TimePoint from {};
    TimePoint until {};
};

/// How many of some streams brought events.
struct StreamShare {
    std::size_t all = 0;
    std::size_t begun = 0;

    auto count(const CallRecord& call) -> void;
    /// @return 0 if there are no streams.
    auto value() const -> double { return all == 0 ? 0 : static_cast<double>(begun) / static_cast<double>(all); }
    auto text() const -> std::string { return std::to_string(begun) + " of " + std::to_string(all); }
};

/// Time without disturbance after which instances and engines are expected to know each other, the streams and the parts
/// of prompts that crash engines.
inline constexpr Duration calmTime = std::chrono::seconds(3);

/// @return whether the store and all instances are undisturbed during the request and for some time before.
auto isCalm(const CallRecord& call, std::span<const FaultPeriod> faults, const FleetSize& size) -> bool;

/// Period without faults in which the entry instances are restarted one after the other.
struct FaultFreePeriod {
    TimePoint from {};
    TimePoint until {};
};

/// @param faultFreePeriod period in which each request that a backend server ran must get a
/// complete response.
/// @return all violations by single requests, and by the number of retries in a window of ten seconds.
auto checkCalls(std::span<const CallRecord> calls, std::span<const BackendRun> runs, const FaultFreePeriod& faultFreePeriod) -> std::vector<Violation>;

/// The highest version of the configuration with which each entry instance was seen.
struct VersionHistory {
    std::vector<int> versions;
    std::vector<Violation> violations;
};

/// Records the current versions of all entry instances, and a violation for each that went back.
auto recordVersions(VersionHistory& history, std::span<const int> current) -> void;

/// A request that waited for capacity and began to run shortly before a later pause, which its deadline does not leave
/// time for, is held to no earlier pause.
/// @param pauses in the order of their times.
/// @return the requests that were open while all backend servers paused and got no whole answer, although their
/// deadlines left enough time for one. Those that were refused and never ran are allowed.
auto checkPauses(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const PausePeriod> pauses) -> std::vector<Violation>;

/// @param faults all faults of the run.
/// @return the requests that an undisturbed instance left without an answer or a refusal, and the streams that it broke
/// off before their deadline although their engines kept the connections open. A graceful shutdown may end streams in
/// the last sixth of its grace period.
auto checkAnswers(std::span<const CallRecord> calls, std::span<const BackendRun> runs, std::span<const FaultPeriod> faults) -> std::vector<Violation>;

/// @return a violation if the backend server started work after `allowedUntil`, while it was
/// leaving.
/// @param until the end of the checked period.
auto checkLeaving(std::span<const BackendRun> runs, const std::string& backend, TimePoint allowedUntil, TimePoint until) -> std::vector<Violation>;

}
