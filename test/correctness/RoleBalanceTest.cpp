#include "RoleBalance.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    RoleBalance balance;
    TimePoint now { 1'000s };

    /// Observes the same demand for the given time.
    auto observe(const RoleDemand& demand, Duration time) -> void
    {
        for (Duration passed {}; passed < time; passed += 250ms) {
            now += 250ms;
            observeDemand(balance, now, demand);
        }
    }
};

}

// Load pattern: decodes last for seconds and fill the decode engines, while prefill engines are idle.
TEST_CASE("engines change to the role with sustained work")
{
    Fixture fixture;
    const RoleDemand demand { .prefillReplicas = 4, .decodeReplicas = 5, .prefillWork = 1 / prefillWeight, .decodeWork = 4.5 };
    fixture.observe(demand, 12s);
    CHECK(desiredRoleChange(fixture.balance, fixture.now, demand) == 1);
    recordRoleChange(fixture.balance, fixture.now);
    CHECK(desiredRoleChange(fixture.balance, fixture.now + 5s, demand) == 0);
    CHECK(desiredRoleChange(fixture.balance, fixture.now + 13s, demand) == 1);
}

// Guards against a change of roles based on the first seconds, in which prompts are prefilled and no
// decode has ended.
TEST_CASE("the ramp-up of the decodes changes no role")
{
    Fixture fixture;
    const RoleDemand prompts { .prefillReplicas = 4, .decodeReplicas = 5, .prefillWork = 3 / prefillWeight, .decodeWork = 0.5 };
    fixture.observe(prompts, 2s);
    CHECK(desiredRoleChange(fixture.balance, fixture.now, prompts) == 0);
    const RoleDemand steady { .prefillReplicas = 4, .decodeReplicas = 5, .prefillWork = 2 / prefillWeight, .decodeWork = 2.5 };
    fixture.observe(steady, 10s);
    CHECK(desiredRoleChange(fixture.balance, fixture.now, steady) == 0);
}

// Load pattern: a burst of four seconds fills the engines of one role.
TEST_CASE("a short burst changes no role")
{
    Fixture fixture;
    const RoleDemand balanced { .prefillReplicas = 3, .decodeReplicas = 6, .prefillWork = 1.5 / prefillWeight, .decodeWork = 3 };
    fixture.observe(balanced, 15s);
    CHECK(desiredRoleChange(fixture.balance, fixture.now, balanced) == 0);
    auto burst = balanced;
    burst.prefillWork = 5 / prefillWeight;
    burst.decodeWork = 5;
    fixture.observe(burst, 4s);
    CHECK(desiredRoleChange(fixture.balance, fixture.now, burst) == 0);
}

// Guards against a role that loses its last engine, and against changing the role of many engines at
// once.
TEST_CASE("each role keeps an engine and few engines change at once")
{
    Fixture fixture;
    const RoleDemand few { .prefillReplicas = 1, .decodeReplicas = 3, .prefillWork = 0, .decodeWork = 9 };
    fixture.observe(few, 12s);
    CHECK(desiredRoleChange(fixture.balance, fixture.now, few) == 0);
    Fixture large;
    const RoleDemand many { .prefillReplicas = 24, .decodeReplicas = 24, .prefillWork = 1, .decodeWork = 24 };
    large.observe(many, 12s);
    const auto change = desiredRoleChange(large.balance, large.now, many);
    CHECK(change > 0);
    CHECK(change <= 6);
}

// Guards against role orders without any work to base them on.
TEST_CASE("an idle service keeps its roles")
{
    Fixture fixture;
    const RoleDemand idle { .prefillReplicas = 4, .decodeReplicas = 5, .prefillWork = 0, .decodeWork = 0.1 };
    fixture.observe(idle, 30s);
    CHECK(desiredRoleChange(fixture.balance, fixture.now, idle) == 0);
}

// Guards against a zone that loses its last prefill engine while another zone keeps six. This happened
// when a change of several engines took all of them from one zone.
TEST_CASE("each zone keeps engines of a role when several engines change")
{
    std::vector<BackendServer> servers;
    const std::pair<std::string, int> zones[] = { { "alpine", 6 }, { "marfa", 5 }, { "terlingua", 4 } };
    for (const auto& [zone, count] : zones) {
        for (int index = 0; index < count; ++index)
            servers.push_back({ .id = zone + std::to_string(index), .availabilityZone = zone });
    }
    const auto order = rankForRoleChange(servers);
    REQUIRE(order.size() == 15);
    std::map<std::string, int> changedByZone;
    for (std::size_t index = 0; index < 9; ++index)
        ++changedByZone[order[index].availabilityZone];
    CHECK(changedByZone["alpine"] == 4);
    CHECK(changedByZone["marfa"] == 3);
    CHECK(changedByZone["terlingua"] == 2);
}
