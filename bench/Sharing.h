#pragma once

/// Schemes by which entry instances share the engines, for comparison under the same load.

#include <cstdint>
#include <string_view>

namespace jayhold::bench {

enum class Sharing {
    /// Each instance uses all engines based on delayed load reports. An engine refuses requests beyond
    /// its limit.
    Independent,
    /// Each decode engine has one owner, chosen by rendezvous hashing. Requests are forwarded to an
    /// owner.
    Owner,
    /// The owner of each decode engine leases its slots to the instances in batches.
    Credits,
};

inline auto name(Sharing sharing) -> std::string_view
{
    constexpr std::string_view names[] = { "independent", "owner", "credits" };
    return names[static_cast<int>(sharing)];
}

}
