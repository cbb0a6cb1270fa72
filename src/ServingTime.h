#pragma once

/// Measures the time in which the servers of a service answer calls. Time without answers, as while all servers
/// are down, counts for at most maxAnswerGap, because no call could get an answer in it.

#include "Time.h"

#include <deque>
#include <optional>

namespace jayhold {

struct ServingTime {
    /// A period without answers that was longer than maxAnswerGap.
    struct Silence {
        TimePoint from {};
        TimePoint to {};
    };

    /// Duration::max() counts all time.
    Duration maxAnswerGap = Duration::max();
    /// Oldest first.
    std::deque<Silence> silences;
    std::optional<TimePoint> lastAnswer;
};

/// Records an answer of any server of the service. One that is older than the last recorded one changes nothing.
auto recordAnswer(ServingTime& state, TimePoint time) -> void;
/// @return the time within a period in which the service answered calls.
auto servingTimeBetween(const ServingTime& state, TimePoint from, TimePoint to) -> Duration;

}
