#include "VersionFleet.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// Request 1 streams from the only engine of its version, and its connection is lost. Request 2 streams from there as well,
/// as far as the test starts it.
struct LostConnection : VersionFleet {
    explicit LostConnection(bool hasSecond = false)
    {
        engine(20, versionB, hasSecond ? 0 : 1);
        emit(stream, 5);
        if (hasSecond) {
            arrive(2);
            second = resume();
            started(second);
        }
        now += 100ms;
        fail(stream, FailureKind::ConnectionLost, 5);
    }

    StartDecode second {};
};

}

// Guards against a stream that goes on at another version because its server started again under the same id, and its new
// entry had not arrived.
TEST_CASE("a stream does not go on at once at a server that lost its connection")
{
    LostConnection fleet;
    CHECK_FALSE(fleet.placed());
    fleet.advance(400ms);
    CHECK_FALSE(fleet.placed());
    SECTION("the entry shows another version")
    {
        fleet.engine(10, versionA, 4, ReplicaState::Gone);
        fleet.engine(11, versionB, 4);
        fleet.advance(1s);
        CHECK_FALSE(fleet.placed());
        fleet.advance(1s);
        CHECK(fleet.last<Refuse>()->reason == RefusalReason::VersionGone);
    }
    SECTION("no other entry arrives")
    {
        fleet.advance(100ms);
        CHECK(fleet.last<StartPrefill>()->decode == ReplicaId { 10 });
    }
    SECTION("another connection is refused")
    {
        fleet.arrive(2);
        const auto other = fleet.resume();
        REQUIRE(other.decode == ReplicaId { 10 });
        fleet.fail(other, FailureKind::NotConnected, 0);
        fleet.advance(400ms);
        CHECK(fleet.lastEver<StartPrefill>()->request == other.request);
    }
}

// Guards against the same when another request was the first to reach the new process.
TEST_CASE("a stream goes on at a server that responds when its new entry would have arrived")
{
    LostConnection fleet;
    fleet.advance(200ms);
    fleet.arrive(2);
    const auto other = fleet.resume();
    REQUIRE(other.decode == ReplicaId { 10 });
    fleet.advance(200ms);
    fleet.started(other);
    fleet.advance(240ms);
    CHECK_FALSE(fleet.placed());
    fleet.advance(10ms);
    CHECK(fleet.last<StartPrefill>()->decode == ReplicaId { 10 });
}

// Guards against a stream that waits although its server has only closed one connection.
TEST_CASE("a stream goes on at once if others at its server go on")
{
    LostConnection fleet(true);
    REQUIRE(fleet.second.decode == ReplicaId { 10 });
    CHECK_FALSE(fleet.placed());
    fleet.advance(30ms);
    CHECK_FALSE(fleet.placed());
    fleet.emit(fleet.second, 4);
    CHECK(fleet.last<StartPrefill>()->decode == ReplicaId { 10 });
}

// Guards against new requests that wait for a server although they may run at any version.
TEST_CASE("a request without tokens goes to a server that lost a connection")
{
    LostConnection fleet;
    fleet.engine(20, versionB, 1, ReplicaState::Leaving);
    fleet.arrive(2);
    CHECK(fleet.resume().decode == ReplicaId { 10 });
}
