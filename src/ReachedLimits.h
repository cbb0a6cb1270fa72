#pragma once

/// Counts how often a limit was reached, by its name. Thread-safe.

#include "Metrics.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

class ReachedLimits {
public:
    auto count(std::string_view limit) -> void
    {
        const std::lock_guard guard(m_lock);
        ++m_counts[std::string(limit)];
    }

    /// @param name name of the metric.
    auto addSamples(std::vector<Metrics::Sample>& samples, std::string_view name, std::string_view help) const -> void
    {
        const std::lock_guard guard(m_lock);
        for (const auto& [limit, count] : m_counts)
            samples.push_back({ name, help, static_cast<double>(count), true, "reason", limit });
    }

private:
    mutable std::mutex m_lock;
    std::map<std::string, std::uint64_t> m_counts;
};

}
