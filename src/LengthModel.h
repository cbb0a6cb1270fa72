#pragma once

/// Output lengths of one kind of request, learned online in a histogram with four buckets per
/// factor of two. Older answers count less.

#include <array>
#include <cstdint>

namespace jayhold {

class LengthModel {
public:
    auto observe(std::uint32_t tokens) -> void;
    /// @return whether enough answers have been observed for an estimate.
    auto hasEnoughAnswers() const -> bool { return m_observed >= minAnswers; }
    /// @param quantile from 0 to 1.
    /// @param emitted tokens that the answer already has; shorter answers are ignored.
    /// @param limit maximum number of tokens that the caller accepts.
    /// @return the length at that quantile, or the limit while too few answers have been observed.
    auto quantile(double quantile, std::uint32_t emitted, std::uint32_t limit) const -> std::uint32_t;

private:
    /// With fewer answers, the caller's limit is the safer estimate.
    static constexpr std::uint32_t minAnswers = 16;

    std::array<double, 80> m_weights {};
    /// Weight of the next answer. It grows with each answer, so that older answers decay without a pass
    /// over the buckets.
    double m_nextWeight = 1;
    std::uint32_t m_observed = 0;
};

}
