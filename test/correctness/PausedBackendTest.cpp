#include "PlainBalancer.h"

#include <catch2/catch.hpp>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1'000s };

auto backend(std::string id, std::string incarnation = "1") -> PlainBackend
{
    return { .server = { .id = std::move(id), .incarnation = std::move(incarnation) }, .isLocal = true, .slots = 4 };
}

auto acquiredId(PlainBalancer& balancer, TimePoint now) -> std::string
{
    const auto server = balancer.acquire(now, {});
    return server ? server->id : "none";
}

auto pauseOf(Duration time) -> BackendPause
{
    return { start + time, start + time };
}

}

// Guards against calls to a server that has asked for a pause, and against a whole queue of calls at its end.
TEST_CASE("a paused server gets no calls, and one call first after its pause")
{
    PlainBalancer balancer;
    balancer.update({ backend("a") });
    balancer.applyPause("a", "1", pauseOf(10s));
    CHECK(balancer.pausesEndAt(start) == start + 10s);
    CHECK(acquiredId(balancer, start + 9999ms) == "none");
    CHECK_FALSE(balancer.tryTakeCall(start + 9999ms, "a"));
    CHECK(balancer.pausesEndAt(start + 10s) == start + 10s);
    CHECK(acquiredId(balancer, start + 10s) == "a");
    CHECK(acquiredId(balancer, start + 10s) == "none");
    // A rejection or a failure is no success.
    balancer.releaseRejected(start + 10s, "a");
    CHECK(acquiredId(balancer, start + 10s) == "a");
    CHECK(acquiredId(balancer, start + 10s) == "none");
    CHECK_FALSE(balancer.release(start + 10s, "a", false));
    CHECK(acquiredId(balancer, start + 10s) == "a");
    balancer.releaseCancelled(start + 10s, "a");
    CHECK(acquiredId(balancer, start + 10s) == "a");
    CHECK(balancer.release(start + 10s, "a", true));
    CHECK(acquiredId(balancer, start + 10s) == "a");
    CHECK(acquiredId(balancer, start + 10s) == "a");
    CHECK_FALSE(balancer.release(start + 10s, "a", true));
}

// Guards against a pause that a call from before it ends.
TEST_CASE("a call from before a pause does not end it")
{
    PlainBalancer balancer;
    balancer.update({ backend("a") });
    CHECK(acquiredId(balancer, start) == "a");
    CHECK(acquiredId(balancer, start) == "a");
    balancer.applyPause("a", "1", pauseOf(10s));
    CHECK_FALSE(balancer.release(start + 1s, "a", true));
    CHECK(acquiredId(balancer, start + 1s) == "none");
    CHECK_FALSE(balancer.release(start + 11s, "a", true));
    CHECK(acquiredId(balancer, start + 11s) == "a");
    CHECK(acquiredId(balancer, start + 11s) == "none");
}

// Guards against a server that gets nothing for long after a short pause, because calls from before it still run.
TEST_CASE("a call from before a pause does not keep the first one after it back")
{
    PlainBalancer balancer;
    balancer.update({ backend("a") });
    CHECK(acquiredId(balancer, start) == "a");
    balancer.applyPause("a", "1", pauseOf(1s));
    CHECK(acquiredId(balancer, start + 999ms) == "none");
    CHECK(acquiredId(balancer, start + 1s) == "a");
    CHECK(acquiredId(balancer, start + 1s) == "none");
    // Within a longer time it does, because only one call is allowed there.
    balancer.applyPause("a", "1", { start + 2s, start + 100s });
    CHECK(acquiredId(balancer, start + 3s) == "none");
}

// Guards against calls that are refused although another server is free, and against a time to return that is later
// than the first server's return.
TEST_CASE("other servers get the calls, and the earliest end of all pauses counts")
{
    PlainBalancer balancer;
    balancer.update({ backend("a"), backend("b") });
    balancer.applyPause("a", "1", pauseOf(3600s));
    CHECK(balancer.pausesEndAt(start) == start);
    for (auto call = 0; call < 4; ++call)
        CHECK(acquiredId(balancer, start) == "b");
    balancer.applyPause("b", "1", pauseOf(10s));
    CHECK(balancer.pausesEndAt(start) == start + 10s);
    auto leaving = backend("b");
    leaving.server.state = ReplicaState::Leaving;
    balancer.update({ backend("a"), leaving });
    CHECK(balancer.pausesEndAt(start) == start + 3600s);
    balancer.update({});
    CHECK(balancer.pausesEndAt(start) == start);
}

// Guards against a pause that is lost with a new list of servers, or that another process under the id inherits.
TEST_CASE("a pause stays with its process when the list of servers changes")
{
    PlainBalancer balancer;
    balancer.update({ backend("a") });
    balancer.applyPause("a", "2", pauseOf(10s));
    CHECK(acquiredId(balancer, start) == "a");
    balancer.applyPause("a", "1", pauseOf(10s));
    balancer.update({ backend("a") });
    CHECK(acquiredId(balancer, start) == "none");
    balancer.update({ backend("a", "2") });
    CHECK(acquiredId(balancer, start) == "a");
    // The pause of the former process is not applied to it.
    balancer.applyPause("a", "1", pauseOf(20s));
    CHECK(acquiredId(balancer, start) == "a");
}

// Guards against a second call within a long time that a server has asked for, and against one that never returns.
TEST_CASE("within the time that a server asked for, only one call goes there unless it succeeds")
{
    PlainBalancer balancer;
    balancer.update({ backend("a") });
    const BackendPause longPause { start + 10s, start + 100s };
    balancer.applyPause("a", "1", longPause);
    CHECK(acquiredId(balancer, start + 10s) == "a");
    balancer.release(start + 11s, "a", false);
    balancer.applyPause("a", "1", longPause);
    CHECK(acquiredId(balancer, start + 99s) == "none");
    CHECK(acquiredId(balancer, start + 100s) == "a");
    balancer.release(start + 101s, "a", true);
    balancer.applyPause("a", "1", longPause);
    CHECK(acquiredId(balancer, start + 101s) == "a");
    CHECK(acquiredId(balancer, start + 101s) == "a");
}
