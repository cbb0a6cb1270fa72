#pragma once

/// How fast waiting work gets started while there is a backlog.

#include "Time.h"

#include <algorithm>

namespace jayhold {

class StartRate {
public:
    /// @param backlog whether more work waits after this start.
    auto started(TimePoint now, bool backlog) -> void
    {
        if (m_waiting) {
            const auto gap = static_cast<double>((now - m_last).count());
            m_interval = m_interval > 0 ? m_interval + (gap - m_interval) * newestShare : gap;
        }
        m_last = now;
        m_waiting = backlog;
    }

    /// Work begins to wait; time before it says nothing about the pace.
    auto backlogStarted(TimePoint now) -> void
    {
        if (m_waiting)
            return;
        m_waiting = true;
        m_last = now;
    }

    auto backlogEnded() -> void { m_waiting = false; }

    /// @return time between two starts; a long gap since the last start counts before it ends.
    auto interval(TimePoint now) const -> Duration
    {
        const auto current = m_waiting ? static_cast<double>((now - m_last).count()) * openGapShare : 0;
        return Duration(static_cast<Duration::rep>(std::max(m_interval, current)));
    }

private:
    static constexpr double newestShare = 0.05;
    /// Gaps vary; one that is three times the mean is not yet a sign of a slower pace.
    static constexpr double openGapShare = 1.0 / 3;

    TimePoint m_last;
    double m_interval = 0;
    bool m_waiting = false;
};

}
