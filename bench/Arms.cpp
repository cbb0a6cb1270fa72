#include "Arm.h"

namespace jayhold::bench {

auto allArms() -> std::vector<Arm>
{
    return { roundRobinArm(), leastOutstandingArm() };
}

}
