#pragma once

/// Counts how often callers have reached a limit, by its name. Thread-safe.

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

    auto addSamples(std::vector<Metrics::Sample>& samples) const -> void
    {
        const std::lock_guard guard(m_lock);
        for (const auto& [limit, count] : m_counts)
            samples.push_back({ "jayhold_caller_limits_reached_total", "Requests refused, and pauses in accepting connections, because of a limit.", static_cast<double>(count), true, "reason", limit });
    }

private:
    mutable std::mutex m_lock;
    std::map<std::string, std::uint64_t> m_counts;
};

}
