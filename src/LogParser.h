#pragma once

/// Reads log lines back, as they were written or as they arrive at a reader: with a prefix of the
/// collector, or cut at either end.

#include "HybridTime.h"
#include "LogField.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct ParsedLogLine {
    /// Absent where the line lost its beginning.
    std::optional<HybridTime> time;
    std::string instance;
    std::string event;
    /// The other fields, in the order of the line.
    std::vector<LogField> fields;
    /// Whether a quoted value does not end.
    bool isTruncated = false;

    /// @return the value of a field, empty where there is none.
    auto field(std::string_view key) const -> std::string_view;
};

/// @return nothing where the line has no key=value pair.
auto parseLogLine(std::string_view line) -> std::optional<ParsedLogLine>;

}
