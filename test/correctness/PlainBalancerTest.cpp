#include "PlainBalancer.h"
#include "RetryBudget.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

auto backend(std::string id, bool isLocal = true, std::uint32_t slots = 2) -> PlainBackend
{
    return { .server = { .id = std::move(id) }, .isLocal = isLocal, .slots = slots };
}

auto acquiredId(PlainBalancer& balancer, TimePoint now, std::vector<std::string> excluded = {}) -> std::string
{
    const auto server = balancer.acquire(now, excluded);
    return server ? server->id : "none";
}

}

// Guards against calls to a remote, full or leaving backend server while a better one is available.
TEST_CASE("plain calls go to the local backend server with the fewest calls in flight")
{
    PlainBalancer balancer;
    const TimePoint now {};
    balancer.update({ backend("far", false), backend("near") });
    CHECK(acquiredId(balancer, now) == "near");
    CHECK(acquiredId(balancer, now) == "near");
    CHECK(acquiredId(balancer, now) == "far");
    balancer.release(now, "near", true);
    CHECK(acquiredId(balancer, now, { "near" }) == "far");
    CHECK(acquiredId(balancer, now) == "near");
    CHECK(acquiredId(balancer, now) == "none");
    auto leaving = backend("near");
    leaving.server.state = ReplicaState::Leaving;
    balancer.update({ leaving });
    CHECK_FALSE(balancer.hasLiveBackend());
    CHECK(acquiredId(balancer, now) == "none");
}

// Guards against a failing backend server that keeps getting calls, or never gets one again.
TEST_CASE("a backend server that fails is ejected and readmitted after one probe")
{
    PlainBalancer balancer;
    TimePoint now {};
    balancer.update({ backend("a") });
    for (std::uint32_t count = 0; count < PlainBalancer::ejectionThreshold; ++count) {
        CHECK(acquiredId(balancer, now) == "a");
        balancer.release(now, "a", false);
    }
    CHECK(acquiredId(balancer, now) == "none");
    now += PlainBalancer::baseEjectionTime;
    CHECK(acquiredId(balancer, now) == "a");
    CHECK(acquiredId(balancer, now) == "none");
    balancer.release(now, "a", false);
    now += PlainBalancer::baseEjectionTime;
    CHECK(acquiredId(balancer, now) == "none");
    now += PlainBalancer::baseEjectionTime;
    CHECK(acquiredId(balancer, now) == "a");
    balancer.release(now, "a", true);
    CHECK(acquiredId(balancer, now) == "a");
    CHECK(acquiredId(balancer, now) == "a");
}

// Guards against slots that leak when the list of backend servers changes during a call.
TEST_CASE("a new list keeps the calls in flight")
{
    PlainBalancer balancer;
    const TimePoint now {};
    balancer.update({ backend("a", true, 1) });
    CHECK(acquiredId(balancer, now) == "a");
    balancer.update({ backend("a", true, 1), backend("b", false, 1) });
    CHECK(acquiredId(balancer, now) == "b");
    balancer.release(now, "a", true);
    CHECK(acquiredId(balancer, now) == "a");
    balancer.update({});
    balancer.release(now, "a", true);
    CHECK(acquiredId(balancer, now) == "none");
}

// Guards against retries that multiply the load of a service that is failing.
TEST_CASE("retries are limited to a fraction of the calls")
{
    RetryBudget budget(plainRetryLimits, plainRetryLimits.capacity);
    auto retries = 0;
    for (auto call = 0; call < 1'000; ++call) {
        budget.recordRequest();
        while (budget.tryConsume())
            ++retries;
    }
    CHECK(retries <= 111);
    CHECK(retries >= 90);
}

// Guards against calls beyond the limit that a server names, and against calls that are refused although
// another server takes them.
TEST_CASE("a limited server gets the calls that it takes, and others get the rest")
{
    PlainBalancer balancer;
    TimePoint now { 1'000s };
    balancer.update({ backend("near", true, 100), backend("far", false, 1) });
    balancer.updateRates(now, { { "near", { "", { .perSecond = 1, .capacity = 2, .initial = 2 } } } });
    CHECK(balancer.nextCallAt(now) == now);
    CHECK(acquiredId(balancer, now) == "near");
    CHECK(balancer.tryTakeCall(now, "near"));
    CHECK_FALSE(balancer.tryTakeCall(now, "near"));
    CHECK(acquiredId(balancer, now) == "far");
    CHECK(acquiredId(balancer, now) == "none");
    CHECK(balancer.nextCallAt(now) > now);
    now += 1100ms;
    // A new list of servers does not refill the allowance.
    balancer.update({ backend("near", true, 100) });
    CHECK(acquiredId(balancer, now) == "near");
    CHECK(acquiredId(balancer, now) == "none");
    balancer.updateRates(now, {});
    CHECK(acquiredId(balancer, now) == "near");
    CHECK(balancer.nextCallAt(now) == TimePoint::max());
}

// Guards against two calls on one server that may both crash it, against copies of one call that crash several servers, and
// against harmless calls that are placed beside them.
TEST_CASE("a call that may crash its server has no other such call beside it")
{
    constexpr std::uint64_t signature = 7;
    const TimePoint now {};
    PlainBalancer balancer;
    PlainBalancer otherInstance;
    balancer.update({ backend("a"), backend("b") });
    otherInstance.update({ backend("b", false), backend("a", false) });
    const auto first = balancer.acquireForSuspect(now, {}, signature);
    REQUIRE(first);
    CHECK(otherInstance.acquireForSuspect(now, {}, signature)->id == first->id);
    const std::string other = first->id == "a" ? "b" : "a";
    CHECK(acquiredId(balancer, now) == other);
    CHECK(balancer.acquireForSuspect(now, {}, signature)->id == other);
    CHECK_FALSE(balancer.acquireForSuspect(now, {}, signature));
    CHECK(balancer.awaitsSuspect(now, {}));
    CHECK_FALSE(balancer.awaitsSuspect(now, std::vector<std::string> { "a", "b" }));
    balancer.releaseSuspect(first->id);
    balancer.release(now, first->id, false);
    CHECK(balancer.acquireForSuspect(now, {}, signature)->id == first->id);
}
