#pragma once

/// The rank of a request: the priority of its customer, then that of its kind. The smaller rank is the more urgent one.

#include <compare>
#include <cstdint>
#include <string>

namespace jayhold {

/// Priority of customers and kinds without one.
inline constexpr std::int64_t defaultPriority = 1;

struct RequestRank {
    std::int64_t customerPriority = defaultPriority;
    std::int64_t kindPriority = defaultPriority;

    auto operator<=>(const RequestRank&) const = default;
};

/// @return the two priorities, such as "1/2", for logs and metrics.
inline auto toString(const RequestRank& rank) -> std::string
{
    return std::to_string(rank.customerPriority) + '/' + std::to_string(rank.kindPriority);
}

}
