#include "SpeedReference.h"

namespace jayhold {

namespace {

/// Long compared with bursts, and long enough that an instance with little traffic compares many servers.
constexpr Duration referenceDecayTime = std::chrono::seconds(60);

}

auto addToReference(SpeedReference& reference, TimePoint now, double amount, double seconds) -> double
{
    if (!(amount > 0) || !(seconds > 0))
        return 0;
    addWork(reference.average, now, referenceDecayTime, amount, seconds);
    return secondsAtMeanSpeed(reference, amount);
}

auto secondsAtMeanSpeed(const SpeedReference& reference, double amount) -> double
{
    const auto& average = reference.average;
    return average.amount > 0 ? amount * average.seconds / average.amount : 0;
}

}
