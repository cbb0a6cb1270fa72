#pragma once

/// Average interval between two starts of waiting work while there is a backlog.

#include "Time.h"

#include <algorithm>

namespace jayhold {

class StartInterval {
public:
    /// @param backlog whether more work waits after this start.
    auto started(TimePoint now, bool backlog) -> void
    {
        if (m_waiting) {
            const auto gap = static_cast<double>((now - m_last).count());
            m_interval = m_interval > 0 ? m_interval + (gap - m_interval) * newestWeight : gap;
        }
        m_last = now;
        m_waiting = backlog;
    }

    /// Records that work begins to wait. The time before says nothing about the interval.
    auto backlogStarted(TimePoint now) -> void
    {
        if (m_waiting)
            return;
        m_waiting = true;
        m_last = now;
    }

    auto backlogEnded() -> void { m_waiting = false; }

    /// @return average time between two starts. A long gap since the last start counts before it ends.
    auto interval(TimePoint now) const -> Duration
    {
        const auto current = m_waiting ? static_cast<double>((now - m_last).count()) * openGapWeight : 0;
        return Duration(static_cast<Duration::rep>(std::max(m_interval, current)));
    }

private:
    static constexpr double newestWeight = 0.05;
    /// Gaps vary, so a gap of up to three times the mean is not a sign of a longer interval.
    static constexpr double openGapWeight = 1.0 / 3;

    TimePoint m_last;
    double m_interval = 0;
    bool m_waiting = false;
};

}
