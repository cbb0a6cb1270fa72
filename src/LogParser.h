#pragma once

/// Parses log lines as they were written or as a log collector delivers them: with a prefix, or
/// truncated at either end.

#include "HybridTime.h"
#include "LogField.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct ParsedLogLine {
    /// Absent if the beginning of the line is missing.
    std::optional<HybridTime> time;
    std::string instance;
    std::string event;
    /// The other fields, in the order of the line.
    std::vector<LogField> fields;
    /// Whether the line ends within a quoted value.
    bool isTruncated = false;

    /// @return the value of a field, empty if there is none.
    auto field(std::string_view key) const -> std::string_view;
};

/// @return nothing if the line has no key=value pair.
auto parseLogLine(std::string_view line) -> std::optional<ParsedLogLine>;

}
