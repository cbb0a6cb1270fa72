#pragma once

/// A way to route requests, as a plain struct of functions. Every entry instance has its own router
/// and sees only its own requests and lagged reports.

#include "DecisionAction.h"
#include "DecisionEvent.h"
#include "ShardSettings.h"

#include <functional>
#include <string>
#include <vector>

namespace jayhold::bench {

/// Takes one event and appends the actions that follow from it.
using Router = std::function<void(TimePoint now, const DecisionEvent& event, std::vector<DecisionAction>& actions)>;

struct Arm {
    std::string name;
    std::function<Router(const ShardSettings& settings)> makeRouter;
};

/// Takes the engines in turn; tries the next one when an engine refuses.
auto roundRobinArm() -> Arm;

/// Takes the engine with the fewest outstanding requests: those in the last report, or its own if
/// they are more.
auto leastOutstandingArm() -> Arm;

/// Today's decision code.
auto decisionArm() -> Arm;

/// @return all arms, in the order of the tables.
auto allArms() -> std::vector<Arm>;

}
