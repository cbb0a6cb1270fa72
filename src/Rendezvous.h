#pragma once

/// Rendezvous hashing. All instances compute the same owner of a name from the same list of members, and
/// when a member leaves, only the names that it owned move to other members.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

/// @return a hash that is the same in every process and build.
auto stableHash(std::string_view text) -> std::uint64_t;
/// @return the hash of the two texts, one after the other.
auto stableHash(std::string_view first, std::string_view second) -> std::uint64_t;

/// @return the owner of the name among the candidates, or an empty string if there are none.
auto rendezvousOwner(std::string_view name, std::span<const std::string> candidates) -> std::string;

/// @return the first `count` candidates in decreasing order of their rendezvous weight for the name.
auto rendezvousOrder(std::string_view name, std::span<const std::string> candidates, std::size_t count) -> std::vector<std::string>;

}
