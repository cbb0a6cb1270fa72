#include "BackendLimits.h"

#include <utility>

namespace jayhold {

auto recordLimit(BackendLimits& limits, LimitObservation observation) -> bool
{
    const auto known = limits.observations.find(observation.backend);
    if (known == limits.observations.end()) {
        if (!observation.perSecond)
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

auto limitOf(const BackendLimits& limits, const std::string& backend, const std::string& incarnation) -> std::optional<double>
{
    const auto known = limits.observations.find(backend);
    return known == limits.observations.end() || known->second.incarnation != incarnation ? std::nullopt : known->second.perSecond;
}

}
