#pragma once

/// Counts the requests of the Resume sub-queue for which the retry budget lacks a retry, without a search of the queue.

#include "Identifiers.h"
#include "Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace jayhold {

/// Retries that the next attempt of a waiting request takes from the budget.
struct RetryWait {
    std::uint32_t missing = 0;
    /// When the retries that the request has taken expire.
    TimePoint expiresAt {};
    std::uint32_t missingAfterwards = 0;
};

class RetryWaits {
public:
    auto add(RequestId id, const RetryWait& wait) -> void
    {
        m_waits[id] = wait;
        m_expiries.emplace(wait.expiresAt, id);
        ++m_counts[wait.missing];
    }

    auto remove(RequestId id) -> void
    {
        const auto wait = m_waits.extract(id);
        if (!wait)
            return;
        m_expiries.erase({ wait.mapped().expiresAt, id });
        uncount(wait.mapped().missing);
    }

    /// Lets the retries expire that are due.
    auto advance(TimePoint now) -> void
    {
        while (!m_expiries.empty() && m_expiries.begin()->first < now) {
            auto& wait = m_waits.at(m_expiries.begin()->second);
            m_expiries.erase(m_expiries.begin());
            uncount(wait.missing);
            wait.missing = wait.missingAfterwards;
            ++m_counts[wait.missing];
        }
    }

    auto clear() -> void { *this = {}; }

    /// @param remaining retries that the budget has.
    /// @return the number of requests that need more.
    auto countAbove(double remaining) const -> std::size_t
    {
        std::size_t count = 0;
        for (auto entry = m_counts.rbegin(); entry != m_counts.rend() && entry->first > remaining; ++entry)
            count += entry->second;
        return count;
    }

private:
    auto uncount(std::uint32_t missing) -> void
    {
        const auto found = m_counts.find(missing);
        if (!--found->second)
            m_counts.erase(found);
    }

    std::unordered_map<RequestId, RetryWait> m_waits;
    std::set<std::pair<TimePoint, RequestId>> m_expiries;
    /// Number of requests by missing retries. A request misses a few at most.
    std::map<std::uint32_t, std::size_t> m_counts;
};

}
