#pragma once

/// Output lengths of one kind of request, learned online: a histogram with four buckets to the
/// octave, in which older answers count less.

#include <array>
#include <cstdint>

namespace jayhold {

class LengthModel {
public:
    auto observe(std::uint32_t tokens) -> void;
    /// @return whether enough answers are known for a guess.
    auto known() const -> bool { return m_observed >= enoughAnswers; }
    /// @param quantile from 0 to 1.
    /// @param emitted tokens that the answer has already; shorter answers are left out.
    /// @param limit most tokens that the caller accepts.
    /// @return the length that the answer reaches with that probability at most; the limit while
    /// too few answers are known.
    auto quantile(double quantile, std::uint32_t emitted, std::uint32_t limit) const -> std::uint32_t;

private:
    /// With fewer answers the caller's limit is the safer guess for what an answer may take.
    static constexpr std::uint32_t enoughAnswers = 16;

    std::array<double, 80> m_weights {};
    /// Weight of the next answer; it grows so that older answers fade without a pass over the buckets.
    double m_nextWeight = 1;
    std::uint32_t m_observed = 0;
};

}
