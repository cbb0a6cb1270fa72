#pragma once

/// Limits the calls of an instance to a backend server: a token bucket that fills with time. An instance
/// that gets a share of the limit while the server is limited starts with an empty bucket, because the
/// instance that had this share before may just have used its calls.

#include "CallRate.h"
#include "Time.h"

#include <algorithm>

namespace jayhold {

class CallAllowance {
public:
    CallAllowance(CallRate rate, TimePoint now)
        : m_rate(rate)
        , m_calls(rate.initial)
        , m_filledAt(now)
    {
    }

    /// Replaces the rate; the calls that are saved up remain, up to the new capacity.
    auto updateRate(CallRate rate, TimePoint now) -> void
    {
        m_calls = std::min(available(now), rate.capacity);
        m_filledAt = now;
        m_rate = rate;
    }

    auto hasCall(TimePoint now) const -> bool { return available(now) >= 1; }

    auto tryTake(TimePoint now) -> bool
    {
        if (!hasCall(now))
            return false;
        m_calls = available(now) - 1;
        m_filledAt = now;
        return true;
    }

    /// Gives back a call that was taken and not sent.
    auto putBack(TimePoint now) -> void
    {
        m_calls = std::min(available(now) + 1, m_rate.capacity);
        m_filledAt = now;
    }

    /// @return when the next call may be sent, or TimePoint::max() if the rate allows none.
    auto nextCallAt(TimePoint now) const -> TimePoint
    {
        if (hasCall(now))
            return now;
        if (m_rate.perSecond <= 0 || m_rate.capacity < 1)
            return TimePoint::max();
        // Rounded up, so that the call is there at that time.
        return now + std::chrono::ceil<Duration>(std::chrono::duration<double>((1 - available(now)) / m_rate.perSecond)) + Duration(1);
    }

private:
    auto available(TimePoint now) const -> double
    {
        const auto seconds = std::chrono::duration<double>(now - m_filledAt).count();
        return std::min(m_calls + std::max(seconds, 0.0) * m_rate.perSecond, m_rate.capacity);
    }

    CallRate m_rate;
    double m_calls;
    TimePoint m_filledAt;
};

}
