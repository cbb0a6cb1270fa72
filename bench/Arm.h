#pragma once

/// An arm of the benchmark: a named routing policy. Every entry instance has its own router, which sees
/// only the requests of that instance and delayed load reports.

#include "DecisionAction.h"
#include "DecisionEvent.h"
#include "ShardSettings.h"

#include <functional>
#include <string>
#include <vector>

namespace jayhold::bench {

/// Handles one event and appends the resulting actions.
using Router = std::function<void(TimePoint now, const DecisionEvent& event, std::vector<DecisionAction>& actions)>;

struct Arm {
    std::string name;
    std::function<Router(const ShardSettings& settings)> makeRouter;
};

/// Selects the engines in round-robin order and tries the next one when an engine refuses.
auto roundRobinArm() -> Arm;

/// Selects the engine with the fewest outstanding requests, which is the maximum of the last reported
/// count and the count of this instance's own requests.
auto leastOutstandingArm() -> Arm;

/// The decision code of this repository.
auto decisionArm() -> Arm;

/// @return all arms, in the order in which the reports list them.
auto allArms() -> std::vector<Arm>;

}
