#pragma once

/// How urgent a kind of request is. Queues serve a more urgent class first, subject to ageing.

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
