#include "RecentDurations.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

auto RecentDurations::record(Duration duration) -> void
{
    m_durations.at(m_recorded++ % maxDurations) = duration;
}

auto RecentDurations::quantile(double quantile) const -> std::optional<Duration>
{
    const auto count = std::min(m_recorded, maxDurations);
    if (count < minDurations)
        return std::nullopt;
    auto sorted = m_durations;
    const auto rank = static_cast<std::size_t>(std::ceil(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(count)));
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(sorted.begin(), position, sorted.begin() + static_cast<std::ptrdiff_t>(count));
    return *position;
}

}
