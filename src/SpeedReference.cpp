#include "SpeedReference.h"

#include "ServerSpeed.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Long compared with bursts, and long enough that an instance with little traffic compares many servers.
constexpr Duration referenceDecayTime = std::chrono::seconds(60);

}

auto addToReference(SpeedReference& reference, TimePoint now, double amount, double seconds) -> double
{
    if (!(amount > 0) || !(seconds > 0))
        return 0;
    // Work at a server that stands still takes many times the mean. Counted in full, it would make all servers look fast for a
    // minute, so that slow ones could not be told apart.
    const auto expected = secondsAtMeanSpeed(reference, amount);
    const auto counted = expected > 0 ? std::min(seconds, expected / minRelativeSpeed) : seconds;
    addWork(reference.average, now, referenceDecayTime, amount, counted);
    return secondsAtMeanSpeed(reference, amount);
}

auto secondsAtMeanSpeed(const SpeedReference& reference, double amount) -> double
{
    const auto& average = reference.average;
    return average.amount > 0 ? amount * average.seconds / average.amount : 0;
}

}
