#pragma once

/// The speed of one process of a backend server at one type of work, relative to the mean of its service. A slow moving
/// average holds the lasting speed, to which the reports of other instances are added; a fast one recognises a phase of
/// less than a second in which the server is slower. Without observations the estimate returns to the mean.

#include "HeardSpeed.h"
#include "ObservedSpeed.h"
#include "WorkAverage.h"

#include <array>

namespace jayhold {

/// Bounds of a relative speed, which limit the effect of a wrong observation or report.
inline constexpr double minRelativeSpeed = 0.2;
inline constexpr double maxRelativeSpeed = 5;
/// Smaller differences from the mean are neither reported nor used, so that equal servers are treated as equal.
inline constexpr double minSpeedDifference = 0.1;
/// A report of another instance is used for this time after its last observation.
inline constexpr Duration speedReportTtl = std::chrono::seconds(10);

struct ServerSpeed {
    /// In seconds at mean speed and seconds taken.
    WorkAverage fast;
    WorkAverage slow;
    /// Reports of other instances. A few of the latest are enough, since all describe the same server.
    std::array<HeardSpeed, 4> heard {};
    /// Last observation or report.
    TimePoint updatedAt = TimePoint::min();
};

/// Adds observed work.
/// @param expectedSeconds time that the work takes at the mean speed of the service.
/// @param seconds time that it took.
auto observeSpeed(ServerSpeed& speed, TimePoint now, double expectedSeconds, double seconds) -> void;

/// Adds an estimate of another instance. It replaces the last one of that instance.
/// @param heard its values are limited to what is plausible.
auto addHeardSpeed(ServerSpeed& speed, TimePoint now, HeardSpeed heard) -> void;

/// @return the lasting speed without the current phase, from all observations and reports.
auto lastingSpeed(const ServerSpeed& speed, TimePoint now) -> double;

/// @param workTime time that the work takes, of which the rest of a slow phase is a part; zero if it is short.
/// @return the speed to expect for work that starts now; exactly 1 if the difference from the mean is small.
auto expectedSpeed(const ServerSpeed& speed, TimePoint now, Duration workTime) -> double;

/// @return the own observations, without the reports of others, which would otherwise return to their senders.
auto observedSpeed(const ServerSpeed& speed, TimePoint now) -> ObservedSpeed;

/// @return whether the observations are recent and differ enough from the mean to be reported.
auto isReportable(const ObservedSpeed& observed) -> bool;

}
