#pragma once

/// Tells which process stood still while a check failed: the soak, an instance, a backend server or a link. A bound of
/// time that is missed while the soak itself stood still says nothing about the instances.

#include "LogField.h"
#include "Time.h"

#include <span>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jayhold::soak {

/// Shorter stalls of the soak are not reported; LoopMonitor reports those from 250 ms.
inline constexpr Duration minReportedStall = std::chrono::milliseconds(50);

struct ProcessStall {
    std::string process;
    TimePoint until {};
    Duration length {};
    /// Fields of the line `loop_stalled`.
    std::vector<LogField> fields;
};

/// The time of a log line.
struct LineTime {
    std::string instance;
    TimePoint at {};
};

/// @param lines log lines of entry instances.
/// @return their stalls, with the times of the system clock converted to the steady clock.
auto entryStalls(std::span<const std::string> lines) -> std::vector<ProcessStall>;

/// @param lines lines of a backend server or link.
auto standinStalls(const std::string& process, std::span<const std::string> lines) -> std::vector<ProcessStall>;

/// @return the times of log lines on the steady clock.
auto lineTimes(std::span<const std::string> lines) -> std::vector<LineTime>;

/// @return which processes stood still for some of the time between `from` and `until` and for how long, and the longest
/// time in it in which each instance wrote no line.
auto describeStalls(std::span<const ProcessStall> stalls, std::span<const LineTime> lines, TimePoint from, TimePoint until) -> std::string;

/// @return for each thread of a process its state, where it waits in the kernel, and the time in milliseconds that it ran
/// and that it waited for a processor.
auto describeThreads(pid_t process) -> std::string;

}
