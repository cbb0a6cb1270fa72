#include "Arm.h"

#include <jayhold/Decision.h>

#include <memory>

namespace jayhold::bench {

auto decisionArm() -> Arm
{
    return { "jayhold", [](const ShardSettings& settings) -> Router {
                auto shard = std::make_shared<Shard>(makeShard(settings));
                return [shard](TimePoint now, const DecisionEvent& event, std::vector<DecisionAction>& actions) { decide(*shard, now, event, actions); };
            } };
}

auto allArms() -> std::vector<Arm>
{
    return { roundRobinArm(), leastOutstandingArm(), decisionArm() };
}

}
