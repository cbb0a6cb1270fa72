#include "ServingTime.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr std::size_t maxSilences = 64;

/// @return the part of a period that lies in a silence and does not count.
auto uncountedTime(const ServingTime& state, const ServingTime::Silence& silence, TimePoint from, TimePoint to) -> Duration
{
    const auto begin = std::max(silence.from + state.maxAnswerGap, from);
    return std::max(std::min(silence.to, to) - begin, Duration::zero());
}

}

auto recordAnswer(ServingTime& state, TimePoint time) -> void
{
    if (state.maxAnswerGap == Duration::max() || (state.lastAnswer && time <= *state.lastAnswer))
        return;
    if (state.lastAnswer && time - *state.lastAnswer > state.maxAnswerGap) {
        if (state.silences.size() == maxSilences)
            state.silences.pop_front();
        state.silences.push_back({ *state.lastAnswer, time });
    }
    state.lastAnswer = time;
}

auto servingTimeBetween(const ServingTime& state, TimePoint from, TimePoint to) -> Duration
{
    auto served = to - from;
    if (state.maxAnswerGap == Duration::max())
        return served;
    for (const auto& silence : state.silences)
        served -= uncountedTime(state, silence, from, to);
    // The silence that goes on until the end of the period.
    if (state.lastAnswer)
        served -= uncountedTime(state, { *state.lastAnswer, TimePoint::max() }, from, to);
    return served;
}

}
