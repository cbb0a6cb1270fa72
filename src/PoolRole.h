#pragma once

/// The role of the backend servers of a pool.

#include <optional>
#include <string_view>

namespace jayhold {

enum class PoolRole {
    Prefill,
    Decode,
    /// Backend servers of a plain HTTP service.
    Plain,
};

auto name(PoolRole role) -> std::string_view;
auto parsePoolRole(std::string_view text) -> std::optional<PoolRole>;

}
