#include "ShardModel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace jayhold;
using namespace jayhold::test;

namespace rc {

template <>
struct Arbitrary<ModelStep> {
    static auto arbitrary() -> Gen<ModelStep>
    {
        return gen::build<ModelStep>(
            gen::set(&ModelStep::what),
            gen::set(&ModelStep::first),
            gen::set(&ModelStep::second),
            gen::set(&ModelStep::third));
    }
};

}

// Guards against a request that gets two final results or none, a refusal that reports "not run" for a
// request that may have run, reservations that outlive their request or exceed a replica, new work for
// replicas that leave, effects of outdated attempts, streams that skip or repeat tokens, and silent attempts that end
// before their replacement holds a slot.
TEST_CASE("invariants of a shard hold for random events")
{
    rc::prop("one final answer, exact reservations, exact resumption", [] {
        constexpr std::size_t maxSteps = 600;
        const auto length = *rc::gen::inRange<std::size_t>(1, maxSteps);
        const auto steps = *rc::gen::container<std::vector<ModelStep>>(length, rc::gen::resize(100, rc::gen::arbitrary<ModelStep>()));
        const auto instanceCount = *rc::gen::inRange<std::uint32_t>(1, 4);
        ShardModel model(instanceCount, *rc::gen::arbitrary<bool>());
        for (const auto& step : steps)
            model.play(step);
        model.finish();
    });
}
