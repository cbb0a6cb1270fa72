#pragma once

/// The speed of a backend server relative to its service, as an instance reports it to the others. Their clocks differ, so
/// it carries its age.

#include "HeardSpeed.h"
#include "WorkType.h"

#include <cstddef>
#include <string>

namespace jayhold {

/// Limits the size of a message, and the effect of one.
inline constexpr std::size_t maxSpeedReportsPerMessage = 8;

struct SpeedReport {
    std::string backend;
    std::string incarnation;
    WorkType work = WorkType::Call;
    double speed = 1;
    /// Time that the observed work took, in milliseconds on the wire.
    Duration observed {};
    /// Time since the last observation.
    Duration age {};

    auto operator==(const SpeedReport&) const -> bool = default;
};

/// @param sender identifies the instance that has sent the report.
/// @return the report as evidence for the estimate of the server.
inline auto heardSpeed(const SpeedReport& report, std::uint64_t sender, TimePoint now) -> HeardSpeed
{
    return { sender, report.speed, std::chrono::duration<double>(report.observed).count(), now - report.age };
}

}
