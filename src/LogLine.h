#pragma once

/// Formats and writes log lines: one line of key=value pairs for each event, through
/// easylogging++ to standard output. Writing never waits for a reader.

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
/// @param lowest events below this level are not written.
auto configureLogging(LogLevel lowest) -> void;

/// @return `time=... event=... key=value ...`; values with spaces, quotes or control characters
/// are quoted and escaped, so that a line is always one event.
auto formatLogLine(HybridTime time, std::string_view event, std::span<const LogField> fields) -> std::string;

/// Writes one line, or keeps it until the output takes it.
auto writeLogLine(LogLevel level, std::string_view line) -> void;

/// Writes what waits, as far as the output takes it.
auto flushLog() -> void;

/// @return lines that were left out because the output was not read.
auto droppedLogLines() -> std::uint64_t;

}
