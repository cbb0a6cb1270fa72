#include "Rendezvous.h"

#include <algorithm>

namespace jayhold {

namespace {

auto mix(std::uint64_t value) -> std::uint64_t
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

struct Weighted {
    std::uint64_t weight;
    const std::string* id;
};

auto isPreferred(const Weighted& left, const Weighted& right) -> bool
{
    return left.weight != right.weight ? left.weight > right.weight : *left.id < *right.id;
}

}

auto stableHash(std::string_view text) -> std::uint64_t
{
    return stableHash(text, {});
}

auto stableHash(std::string_view first, std::string_view second) -> std::uint64_t
{
    // FNV-1a alone distributes similar names poorly over the high bits, so its result is mixed.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const auto text : { first, second }) {
        for (const auto character : text) {
            hash ^= static_cast<unsigned char>(character);
            hash *= 0x100000001b3ULL;
        }
    }
    return mix(hash);
}

auto rendezvousOrder(std::string_view name, std::span<const std::string> candidates, std::size_t count) -> std::vector<std::string>
{
    const auto nameHash = stableHash(name);
    std::vector<Weighted> weighted;
    weighted.reserve(candidates.size());
    for (const auto& candidate : candidates)
        weighted.push_back({ mix(nameHash ^ stableHash(candidate)), &candidate });
    const auto kept = std::min(count, weighted.size());
    std::ranges::partial_sort(weighted, weighted.begin() + static_cast<std::ptrdiff_t>(kept), isPreferred);
    std::vector<std::string> order;
    for (std::size_t index = 0; index < kept; ++index)
        order.push_back(*weighted[index].id);
    return order;
}

auto rendezvousOwner(std::string_view name, std::span<const std::string> candidates) -> std::string
{
    const auto order = rendezvousOrder(name, candidates, 1);
    return order.empty() ? std::string() : order.front();
}

}
