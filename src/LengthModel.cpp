#include "LengthModel.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

namespace {

constexpr double bucketsPerOctave = 4;
/// The last 350 answers have half of the total weight.
constexpr double weightGrowth = 1.002;
constexpr double maxWeight = 1e12;

auto bucketOf(std::uint32_t tokens, std::size_t count) -> std::size_t
{
    const auto index = static_cast<std::size_t>(bucketsPerOctave * std::log2(std::max(tokens, 1U)));
    return std::min(index, count - 1);
}

auto upperBound(std::size_t bucket) -> double
{
    return std::exp2(static_cast<double>(bucket + 1) / bucketsPerOctave);
}

}

auto LengthModel::observe(std::uint32_t tokens) -> void
{
    m_weights.at(bucketOf(tokens, m_weights.size())) += m_nextWeight;
    m_nextWeight *= weightGrowth;
    ++m_observed;
    if (m_nextWeight < maxWeight)
        return;
    for (auto& weight : m_weights)
        weight /= m_nextWeight;
    m_nextWeight = 1;
}

auto LengthModel::quantile(double quantile, std::uint32_t emitted, std::uint32_t limit) const -> std::uint32_t
{
    if (!hasEnoughAnswers())
        return limit;
    const auto first = bucketOf(emitted, m_weights.size());
    double total = 0;
    for (auto bucket = first; bucket < m_weights.size(); ++bucket)
        total += m_weights.at(bucket);
    if (total <= 0)
        return limit;
    double below = 0;
    for (auto bucket = first; bucket < m_weights.size(); ++bucket) {
        below += m_weights.at(bucket);
        if (below >= quantile * total)
            return std::clamp(static_cast<std::uint32_t>(upperBound(bucket)), std::min(emitted + 1, limit), limit);
    }
    return limit;
}

}
