#pragma once

/// Time types shared by all libraries. The decision code and the state machines never read a
/// clock: they take a TimePoint from their caller, so that the bench and the tests can run them
/// in virtual time.

#include <chrono>
#include <ctime>

namespace jayhold {

using Duration = std::chrono::microseconds;

/// A point on the monotonic clock, in microseconds.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @return the current monotonic time; only drivers call it.
inline auto monotonicNow() -> TimePoint
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// @return the time since the system was started, including the time for which it was suspended.
/// Leases are measured on this clock, so that a suspended holder detects that its lease has expired.
inline auto bootTimeNow() -> TimePoint
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

}
