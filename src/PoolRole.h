#pragma once

/// What the backend servers of a pool do.

#include <optional>
#include <string_view>

namespace jayhold {

enum class PoolRole {
    Prefill,
    Decode,
    /// A plain service beside the model engines.
    Plain,
};

auto name(PoolRole role) -> std::string_view;
auto parsePoolRole(std::string_view text) -> std::optional<PoolRole>;

}
