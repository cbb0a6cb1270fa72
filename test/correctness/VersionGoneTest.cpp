#include "VersionFleet.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

auto takenUp(const VersionFleet& fleet, std::uint64_t id, std::uint32_t version) -> RequestArrived
{
    RequestArrived arrival {};
    arrival.request = RequestId { id };
    arrival.promptTokens = 1'000;
    arrival.maxTokens = 200;
    arrival.deadline = fleet.now + 60s;
    arrival.resumedTokens = 9;
    arrival.boundVersion = SoftwareVersionId { version };
    return arrival;
}

auto checkRefused(const VersionFleet& fleet, std::uint64_t id, ExecutionOutcome outcome) -> void
{
    const auto refusal = fleet.last<Refuse>();
    REQUIRE(refusal);
    CHECK(refusal->request == RequestId { id });
    CHECK(refusal->reason == RefusalReason::VersionGone);
    CHECK(refusal->outcome == outcome);
    CHECK(refusal->retryAfter > 0ms);
}

}

// Guards against a stream whose caller waits until its deadline for a version that has left, and against a refusal that says
// "not run" for a stream that ran.
TEST_CASE("a stream ends when the last engine of its version leaves")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(20, versionB, 8);
    fleet.engine(11, versionA, 0);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    fleet.advance(5s);
    CHECK_FALSE(fleet.lastEver<Refuse>());
    fleet.engine(11, versionA, 0, ReplicaState::Leaving);
    checkRefused(fleet, 1, ExecutionOutcome::Unknown);
}

// Guards against a stream that waits for a version that has left before the stream was interrupted.
TEST_CASE("a stream that is interrupted after the last engine of its version began to leave ends at once")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(20, versionB, 8);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    CHECK_FALSE(fleet.last<Refuse>());
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    checkRefused(fleet, 1, ExecutionOutcome::Unknown);
}

// Guards against a stream that ends although its engine is replaced by a new process of the same version in the same
// moment, or starts again within seconds.
TEST_CASE("a stream waits a limited time for an engine that is gone without having left")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(20, versionB, 8);
    fleet.engine(10, versionA, 4, ReplicaState::Gone);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    fleet.advance(1'500ms);
    CHECK_FALSE(fleet.lastEver<Refuse>());
    SECTION("it comes back")
    {
        fleet.engine(11, versionA, 4);
        CHECK(fleet.resume().decode == ReplicaId { 11 });
    }
    SECTION("it does not come back")
    {
        fleet.advance(600ms);
        checkRefused(fleet, 1, ExecutionOutcome::Unknown);
    }
}

// Guards against a stream that ends although an engine of its version will decode as soon as it has changed its role.
TEST_CASE("a stream waits for an engine of its version that changes its role")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.replica(5, PoolRole::Prefill, 1, ReplicaState::Live, 0, versionA);
    for (std::uint32_t id = 1; id <= 4; ++id)
        fleet.replica(id, PoolRole::Prefill, 8, ReplicaState::Leaving);
    fleet.engine(20, versionB, 8);
    fleet.arrive(2);
    const auto prefill = *fleet.last<StartPrefill>();
    REQUIRE(prefill.prefill == ReplicaId { 5 });
    fleet.engine(5, versionA, 1);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    CHECK_FALSE(fleet.lastEver<Refuse>());
    fleet.send(RequestCancelled { prefill.request });
    fleet.replica(1, PoolRole::Prefill, 8);
    CHECK(fleet.resume().decode == ReplicaId { 5 });
}

// Guards against a prefill result that keeps a stream waiting for a version that has left.
TEST_CASE("a stream with a prefill result ends when the last engine of its version leaves")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(11, versionA, 1);
    fleet.engine(20, versionB, 8);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    const auto start = *fleet.last<StartPrefill>();
    fleet.engine(11, versionA, 1, ReplicaState::Leaving);
    fleet.prefilled(start);
    checkRefused(fleet, 1, ExecutionOutcome::Unknown);
}

// Guards against a taken-up stream that waits, or is reported as run, when its version has no engine.
TEST_CASE("a stream that is taken up is refused as not run if its version has no engine")
{
    VersionFleet fleet;
    fleet.engine(20, versionB, 8);
    SECTION("a version that was never listed")
    {
        fleet.send(takenUp(fleet, 2, 7));
        checkRefused(fleet, 2, ExecutionOutcome::NotRun);
    }
    SECTION("the unknown version")
    {
        fleet.send(takenUp(fleet, 2, 0));
        checkRefused(fleet, 2, ExecutionOutcome::NotRun);
    }
    SECTION("a version that leaves while the stream waits")
    {
        fleet.engine(10, versionA, 1);
        fleet.send(takenUp(fleet, 2, versionA));
        CHECK_FALSE(fleet.lastEver<Refuse>());
        CHECK_FALSE(fleet.placed());
        fleet.engine(10, versionA, 1, ReplicaState::Leaving);
        checkRefused(fleet, 2, ExecutionOutcome::NotRun);
    }
}

// Guards against new requests of a customer that wait behind a stream that is taken up and waits for its version.
TEST_CASE("a taken-up stream that waits for its version holds up no request of its customer")
{
    VersionFleet fleet(repeatableSettings(), 1);
    fleet.engine(20, versionB, 8);
    for (std::uint64_t id = 2; id < 8; ++id) {
        fleet.send(takenUp(fleet, id, versionA));
        REQUIRE_FALSE(fleet.placed());
    }
    fleet.arrive(9);
    CHECK(fleet.resume().decode == ReplicaId { 20 });
}
