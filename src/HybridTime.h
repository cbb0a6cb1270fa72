#pragma once

/// A hybrid logical timestamp: wall-clock microseconds with a counter that breaks ties, so that
/// an event caused by another always has the greater timestamp, whatever the clocks' skew.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

struct HybridTime {
    /// Microseconds since the Unix epoch.
    std::int64_t wallMicroseconds = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime&) const = default;
};

/// @return `<microseconds>.<counter>`, the form used in logs and in the time header.
auto toString(HybridTime time) -> std::string;

/// @return the timestamp, or nothing if the text is malformed.
auto parseHybridTime(std::string_view text) -> std::optional<HybridTime>;

}
