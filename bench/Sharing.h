#pragma once

/// The ways in which entry instances share the engines, which are compared on the same load.

#include <cstdint>
#include <string_view>

namespace jayhold::bench {

enum class Sharing {
    /// Each instance places on all engines from lagged load; an engine refuses what is over its limit.
    Independent,
    /// Each decode engine has one owner by rendezvous hashing; requests are handed to an owner.
    Owner,
    /// The owner of each decode engine leases its seats to the instances in batches.
    Credits,
};

inline auto name(Sharing sharing) -> std::string_view
{
    constexpr std::string_view names[] = { "independent", "owner", "credits" };
    return names[static_cast<int>(sharing)];
}

}
