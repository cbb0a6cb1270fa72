#pragma once

/// Rendezvous hashing: every instance computes the same owner of a name from the same list of
/// members, and a member that leaves moves only the names that it owned.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

/// @return a hash that is the same in every process and build.
auto stableHash(std::string_view text) -> std::uint64_t;

/// @return the owner of the name among the candidates, empty where there are none.
auto rendezvousOwner(std::string_view name, std::span<const std::string> candidates) -> std::string;

/// @return the first `count` candidates in the name's order of preference.
auto rendezvousOrder(std::string_view name, std::span<const std::string> candidates, std::size_t count) -> std::vector<std::string>;

}
