#pragma once

/// The virtual clock of the benchmark. Runs callbacks by time, and in the order of scheduling for equal
/// times.

#include "Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace jayhold::bench {

class EventQueue {
public:
    using Callback = std::function<void()>;

    auto now() const -> TimePoint { return m_now; }

    /// Schedules the callback for the given time, or for the current time if the given time has passed.
    auto at(TimePoint time, Callback callback) -> void;
    auto after(Duration delay, Callback callback) -> void { at(m_now + delay, std::move(callback)); }

    /// Runs all callbacks that are due up to and including the given time.
    auto runUntil(TimePoint end) -> void;

private:
    struct Entry {
        TimePoint time;
        std::uint64_t order;
        Callback callback;
    };
    struct Later {
        auto operator()(const Entry& left, const Entry& right) const -> bool
        {
            return left.time != right.time ? left.time > right.time : left.order > right.order;
        }
    };

    TimePoint m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<Entry, std::vector<Entry>, Later> m_entries;
};

/// @return a duration of that many seconds, rounded to microseconds.
inline auto fromSeconds(double seconds) -> Duration
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// @return the duration in seconds.
inline auto toSeconds(Duration duration) -> double
{
    return static_cast<double>(duration.count()) / 1e6;
}

}
