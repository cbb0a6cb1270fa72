#pragma once

/// Priority class of a request kind. Queues serve the more urgent class first, subject to aging.

#include <cstdint>
#include <optional>
#include <string_view>

namespace jayhold {

enum class LatencyClass : std::uint8_t {
    Interactive,
    Standard,
    Batch,
};

auto name(LatencyClass latencyClass) -> std::string_view;
auto parseLatencyClass(std::string_view text) -> std::optional<LatencyClass>;

}
