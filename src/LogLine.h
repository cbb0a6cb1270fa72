#pragma once

/// Formats and writes log lines: one line of key=value pairs for each event, through
/// easylogging++ to standard output. Writing never blocks on the reader of the output.

#include "HybridTime.h"
#include "LogField.h"

#include <span>
#include <string>
#include <string_view>

namespace jayhold {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Sets up the logger of the process.
/// @param minimumLevel events below this level are not written.
auto configureLogging(LogLevel minimumLevel) -> void;

/// @return `time=... event=... key=value ...`; values with spaces, quotes or control characters
/// are quoted and escaped, so that a line is always one event.
auto formatLogLine(HybridTime time, std::string_view event, std::span<const LogField> fields) -> std::string;

/// Writes one line, or queues it until the output accepts it.
auto writeLogLine(LogLevel level, std::string_view line) -> void;

/// Writes as many queued lines as the output accepts.
auto flushLog() -> void;

/// @return number of lines that were dropped because the output was not read.
auto droppedLogLines() -> std::uint64_t;

}
