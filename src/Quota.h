#pragma once

/// The quota of a customer: a rate and a burst that all instances together allow.

#include <cstdint>

namespace jayhold {

enum class QuotaUnit : std::uint8_t {
    Requests,
    /// Prompt tokens and the maximum number of output tokens of each request.
    Tokens,
};

struct Quota {
    /// Amount that becomes available in a second, in the unit of the quota; 0 for no limit.
    double perSecond = 0;
    /// Amount that may be used at once after a time without requests.
    double burst = 0;
    QuotaUnit unit = QuotaUnit::Requests;
    /// Tokens that a request counts which does not state its tokens.
    std::int64_t defaultTokens = 0;

    auto operator==(const Quota&) const -> bool = default;
};

/// @return whether the quota limits anything.
inline auto isLimited(const Quota& quota) -> bool
{
    return quota.perSecond > 0;
}

}
