#include "BackendLimits.h"

#include "Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jayhold {

namespace {

/// Observations are reported for this time, in which several messages reach each peer.
constexpr Duration reportTtl = std::chrono::seconds(3);

/// Time after which an instance without a share calls the server again to learn whether it is still limited.
constexpr Duration limitTtl = std::chrono::seconds(60);

/// Burst of all instances together, beside the rate. A server accepts a burst of twice its limit plus five
/// within four seconds. A quarter of that is left for calls that are sent some time after they were taken, and
/// for instances that divide the limit among different instances until their lists agree.
constexpr double burstPerLimit = 1.5;
constexpr double burstCalls = 3.5;

/// A server that names a very low limit is still called from time to time, to learn when it ends.
constexpr double minCallsPerSecond = 0.2;

}

auto recordLimit(BackendLimits& limits, LimitObservation observation) -> bool
{
    const auto known = limits.observations.find(observation.backend);
    if (known == limits.observations.end()) {
        if (!observation.perSecond || limits.observations.size() >= limits.maxObservations)
            return false;
        auto name = observation.backend;
        limits.observations.emplace(std::move(name), std::move(observation));
        return true;
    }
    auto& last = known->second;
    const auto isSameProcess = last.incarnation == observation.incarnation;
    if (isSameProcess && (observation.perSecond ? observation.observedAt : observation.sentAt) < last.observedAt)
        return false;
    const auto hasChanged = !isSameProcess || last.perSecond != observation.perSecond;
    last = std::move(observation);
    return hasChanged;
}

auto forgetOldLimits(BackendLimits& limits, TimePoint now) -> bool
{
    return std::erase_if(limits.observations, [&](const auto& entry) { return now - entry.second.observedAt >= limitTtl; }) > 0;
}

auto reportableLimits(const BackendLimits& limits, TimePoint now) -> std::vector<LimitReport>
{
    std::vector<LimitReport> reports;
    for (const auto& [backend, observation] : limits.observations) {
        if (observation.isOwn && now - observation.observedAt < reportTtl)
            reports.push_back({ backend, observation.incarnation, observation.perSecond, std::chrono::duration_cast<Duration>(now - observation.observedAt) });
    }
    return reports;
}

auto divideLimit(double perSecond, std::string_view backend, std::string_view instance, std::span<const std::string> instances, bool isSettled) -> CallRate
{
    const auto rate = std::max(perSecond, minCallsPerSecond);
    const auto burst = rate * burstPerLimit + burstCalls;
    // A limit can be greater than any number of instances.
    const auto count = std::min(std::max(std::floor(burst), 1.0), static_cast<double>(instances.size()));
    const auto sharers = rendezvousOrder(backend, instances, static_cast<std::size_t>(count));
    if (std::ranges::find(sharers, instance) == sharers.end())
        return {};
    const auto capacity = std::max(std::floor(burst / count), 1.0);
    return { rate / count, capacity, isSettled ? capacity : 0 };
}

}
