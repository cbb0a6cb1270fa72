#include "VersionFleet.h"

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr auto longerThanBackOff = 2'100ms;

}

// Guards against a stream that goes on at another software version after its engine was lost.
TEST_CASE("an interrupted stream goes on only at the version that began it")
{
    const auto failure = GENERATE(FailureKind::ConnectionLost, FailureKind::TimedOut, FailureKind::ServerError, FailureKind::Busy, FailureKind::Leaving);
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(20, versionB, 8);
    // Another engine of the version has no free slot until later, so that the stream waits.
    fleet.engine(11, versionA, 0);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.fail(fleet.stream, failure, 7);
    CHECK_FALSE(fleet.placed());
    fleet.advance(1s);
    CHECK_FALSE(fleet.placed());
    CHECK_FALSE(fleet.lastEver<Refuse>());
    fleet.engine(11, versionA, 4);
    REQUIRE(fleet.last<StartPrefill>());
    CHECK(fleet.last<StartPrefill>()->decode == ReplicaId { 11 });
    const auto resumed = fleet.resume();
    CHECK(resumed.decode == ReplicaId { 11 });
    CHECK(resumed.resumeFrom == 7);
}

// Guards against a stream that waits although the engine that failed is the only one of its version and works again.
TEST_CASE("the engine of the failed attempt is used again rather than one of another version")
{
    VersionFleet fleet;
    fleet.engine(20, versionB, 8);
    fleet.fail(fleet.stream, FailureKind::ServerError, 3);
    REQUIRE(fleet.last<StartPrefill>());
    CHECK(fleet.last<StartPrefill>()->decode == ReplicaId { 10 });
}

// Guards against a stream that moves to another version because its engine pauses.
TEST_CASE("a silent attempt is replaced only at the same version")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(20, versionB, 8);
    fleet.advance(2s);
    fleet.send(AttemptSilent { fleet.stream.request, fleet.stream.attempt, 5 });
    CHECK_FALSE(fleet.placed());
    CHECK_FALSE(fleet.last<CancelOnReplica>());
    fleet.engine(11, versionA, 4);
    fleet.send(AttemptSilent { fleet.stream.request, fleet.stream.attempt, 5 });
    CHECK(fleet.last<CancelOnReplica>());
    CHECK(fleet.resume().decode == ReplicaId { 11 });
}

// Guards against a stream that is bound only by a report of its start: the report of the silence may be the first.
TEST_CASE("tokens that the silence of an attempt reports bind the stream")
{
    VersionFleet fleet;
    fleet.arrive(2);
    fleet.prefilled(*fleet.last<StartPrefill>());
    const auto second = *fleet.last<StartDecode>();
    fleet.engine(20, versionB, 8);
    fleet.advance(2s);
    fleet.send(AttemptSilent { second.request, second.attempt, 2 });
    CHECK_FALSE(fleet.placed());
}

// Guards against a limit that keeps an attempt without tokens at a version.
TEST_CASE("an attempt without tokens may be replaced at any version")
{
    VersionFleet fleet;
    fleet.arrive(2);
    fleet.prefilled(*fleet.last<StartPrefill>());
    const auto second = *fleet.last<StartDecode>();
    fleet.engine(20, versionB, 8);
    fleet.fail(second, FailureKind::ConnectionLost, 0);
    CHECK(fleet.resume().decode == ReplicaId { 20 });
}

// Guards against a stream whose engine is removed, by the store or by another process under its id, and that goes on at
// another version.
TEST_CASE("a stream whose engine is removed goes on at the same version")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(20, versionB, 8);
    fleet.engine(10, versionA, 4, ReplicaState::Gone);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 6);
    CHECK_FALSE(fleet.placed());
    fleet.engine(11, versionB, 4);
    CHECK_FALSE(fleet.placed());
    fleet.engine(12, versionA, 4);
    CHECK(fleet.resume().decode == ReplicaId { 12 });
}

// Guards against a stream that moves to another version when its engine changes its role.
TEST_CASE("a stream whose engine changes its role goes on at the same version")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(20, versionB, 8);
    fleet.engine(11, versionA, 1);
    fleet.replica(10, PoolRole::Prefill, 4, ReplicaState::Live, 0, versionA);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 6);
    CHECK(fleet.resume().decode == ReplicaId { 11 });
}

// Guards against copies of a request that crashes engines: each copy is a stream of its own, and runs again elsewhere.
TEST_CASE("copies of a crash suspect go on at the version that began them")
{
    constexpr std::uint64_t signature = 55;
    VersionFleet fleet;
    std::vector<StartDecode> copies;
    for (std::uint64_t id = 2; id <= 3; ++id) {
        fleet.arrive(id, 0, 0, 1'000, signature);
        copies.push_back(fleet.resume());
        fleet.started(copies.back());
        fleet.emit(copies.back(), 5);
    }
    for (std::uint32_t id = 20; id < 24; ++id)
        fleet.engine(id, versionB, 8);
    for (const auto& copy : copies)
        fleet.fail(copy, FailureKind::ConnectionLost, 5);
    for (auto step = 0; step < 20; ++step) {
        fleet.advance(200ms);
        CHECK_FALSE(fleet.lastEver<Refuse>());
        for (const auto& action : fleet.actions) {
            if (const auto* start = std::get_if<StartPrefill>(&action))
                CHECK(start->decode == ReplicaId { 10 });
        }
    }
}

// Guards against a stream that moves to another version because an engine of its own has refused it a slot.
TEST_CASE("a stream whose slot is refused waits for its version")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(11, versionA, 1);
    fleet.engine(20, versionB, 8);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    const auto start = *fleet.last<StartPrefill>();
    REQUIRE(start.decode == ReplicaId { 11 });
    fleet.send(SlotRefused { start.request, start.attempt, FailureKind::Busy });
    CHECK_FALSE(fleet.placed());
    fleet.advance(1s);
    CHECK(fleet.resume().decode == ReplicaId { 11 });
}

// Guards against a prefill result that is used at another version when its decode engine turns the request away.
TEST_CASE("a decode that is retried from its prefill result stays at the version")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(11, versionA, 1);
    fleet.engine(20, versionB, 8);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    const auto resumed = fleet.resume();
    REQUIRE(resumed.decode == ReplicaId { 11 });
    fleet.fail(resumed, FailureKind::Busy, 5);
    CHECK_FALSE(fleet.placed());
    fleet.advance(longerThanBackOff);
    REQUIRE(fleet.lastEver<StartDecode>());
    CHECK(fleet.lastEver<StartDecode>()->decode == ReplicaId { 11 });
}

// Guards against a prefill whose slot was lost and that is continued at another version.
TEST_CASE("a prefill of an interrupted stream gets a new slot only at the version")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(11, versionA, 1);
    fleet.engine(20, versionB, 8);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    const auto start = *fleet.last<StartPrefill>();
    REQUIRE(start.decode == ReplicaId { 11 });
    // The engine of the slot pauses, and another one of the version is full.
    fleet.engine(12, versionA, 0);
    fleet.engine(11, versionA, 1, ReplicaState::Leaving);
    fleet.prefilled(start);
    CHECK_FALSE(fleet.placed());
    fleet.engine(12, versionA, 1);
    REQUIRE(fleet.last<StartDecode>());
    CHECK(fleet.last<StartDecode>()->decode == ReplicaId { 12 });
}

// Guards against a stream that is not bound because its tokens are reported after the shard has ended the attempt.
TEST_CASE("a token count that arrives after the end of its attempt binds the stream")
{
    VersionFleet fleet;
    fleet.arrive(2);
    fleet.prefilled(*fleet.last<StartPrefill>());
    const auto second = *fleet.last<StartDecode>();
    fleet.send(RequestCancelled { fleet.stream.request });
    fleet.engine(11, versionA, 0);
    fleet.engine(10, versionA, 4, ReplicaState::Gone);
    // The shard no longer waits for the count, and no engine has room.
    fleet.advance(1s);
    SECTION("by a failure") { fleet.fail(second, FailureKind::ConnectionLost, 3); }
    SECTION("by a report of progress") { fleet.emit(second, 3); }
    fleet.engine(20, versionB, 8);
    CHECK_FALSE(fleet.placed());
    fleet.engine(11, versionA, 1);
    const auto resumed = fleet.resume();
    CHECK(resumed.decode == ReplicaId { 11 });
    CHECK(resumed.resumeFrom == 3);
}

// Guards against a stream that goes on at another version because the driver learned of its first event only after the
// shard had started another attempt.
TEST_CASE("a stream that is reported as bound during another attempt goes on at its version")
{
    VersionFleet fleet;
    fleet.arrive(2);
    const auto start = *fleet.last<StartPrefill>();
    fleet.prefilled(start);
    const auto second = *fleet.last<StartDecode>();
    fleet.engine(20, versionB, 8);
    fleet.fail(second, FailureKind::TimedOut, 0);
    const auto other = *fleet.last<StartPrefill>();
    REQUIRE(other.decode == ReplicaId { 20 });
    fleet.engine(11, versionA, 4);
    fleet.send(StreamBound { other.request, SoftwareVersionId { versionA }, 4 });
    fleet.send(SlotRefused { other.request, other.attempt, FailureKind::OtherVersion });
    const auto resumed = fleet.resume();
    CHECK((resumed.decode == ReplicaId { 10 } || resumed.decode == ReplicaId { 11 }));
    CHECK(resumed.resumeFrom == 4);
}

// Guards against a token count of an earlier attempt that is taken for tokens of the attempt that was not sent, and
// against a prefill result that is lost for it.
TEST_CASE("a decode that is not sent because of its version is placed again with its prefill result")
{
    VersionFleet fleet;
    fleet.engine(20, versionB, 8);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.arrive(2);
    const auto second = fleet.resume();
    REQUIRE(second.decode == ReplicaId { 20 });
    fleet.engine(11, versionA, 4);
    fleet.send(StreamBound { second.request, SoftwareVersionId { versionA }, 4 });
    fleet.fail(second, FailureKind::OtherVersion, 4);
    REQUIRE(fleet.last<StartDecode>());
    CHECK(fleet.last<StartDecode>()->decode == ReplicaId { 11 });
    CHECK(fleet.last<StartDecode>()->resumeFrom == 4);
    CHECK(summarize(fleet.shard).retries == 0);
}

// Guards against the few engines of a version that are missed among many with less load.
TEST_CASE("the last engine of a version is found among many others")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    for (std::uint32_t id = 100; id < 200; ++id)
        fleet.engine(id, versionB, 8);
    fleet.engine(11, versionA, 4, ReplicaState::Live, GENERATE(0, 3));
    fleet.send(ReplicaLoad { .replica = ReplicaId { 11 }, .sequence = 1, .asOf = fleet.now, .running = 3, .waiting = 0, .freeMemoryBlocks = 200, .held = {} });
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    CHECK(fleet.resume().decode == ReplicaId { 11 });
}

// Guards against requests of other versions that wait behind a stream whose version has no room.
TEST_CASE("a stream that waits for its version holds up no other request")
{
    VersionFleet fleet;
    fleet.emit(fleet.stream, 5);
    fleet.engine(11, versionA, 0);
    fleet.engine(20, versionB, 4);
    fleet.engine(10, versionA, 4, ReplicaState::Leaving);
    fleet.arrive(2);
    const auto second = fleet.resume();
    fleet.started(second);
    fleet.emit(second, 3);
    fleet.fail(fleet.stream, FailureKind::ConnectionLost, 5);
    REQUIRE_FALSE(fleet.placed());
    SECTION("a new request starts")
    {
        fleet.arrive(3);
        CHECK(fleet.resume().decode == ReplicaId { 20 });
    }
    SECTION("a stream of another version goes on")
    {
        fleet.engine(21, versionB, 4);
        fleet.fail(second, FailureKind::ConnectionLost, 4);
        CHECK(fleet.resume().decode == ReplicaId { 21 });
    }
    SECTION("a silent attempt of another version is replaced")
    {
        fleet.engine(21, versionB, 4);
        fleet.advance(2s);
        fleet.send(AttemptSilent { second.request, second.attempt, 3 });
        CHECK(fleet.resume().decode == ReplicaId { 21 });
    }
}

// Guards against a stream that a caller takes up again and that goes on at another version than the one that began it.
TEST_CASE("a stream that is taken up goes on at the version that is known to have begun it")
{
    VersionFleet fleet;
    fleet.engine(20, versionB, 8);
    RequestArrived arrival {};
    arrival.request = RequestId { 2 };
    arrival.promptTokens = 1'000;
    arrival.maxTokens = 200;
    arrival.deadline = fleet.now + 60s;
    arrival.resumedTokens = 9;
    SECTION("at once")
    {
        arrival.boundVersion = SoftwareVersionId { versionA };
        fleet.send(arrival);
        const auto decode = fleet.resume();
        CHECK(decode.decode == ReplicaId { 10 });
        fleet.fail(decode, FailureKind::ConnectionLost, 9);
        fleet.advance(longerThanBackOff);
        REQUIRE(fleet.lastEver<StartPrefill>());
        CHECK(fleet.lastEver<StartPrefill>()->decode == ReplicaId { 10 });
    }
    SECTION("an unknown version is bound by the first new token, not by those that the caller had")
    {
        fleet.send(arrival);
        const auto decode = fleet.resume();
        REQUIRE(decode.decode == ReplicaId { 20 });
        fleet.engine(20, versionB, 8, ReplicaState::Leaving);
        fleet.fail(decode, FailureKind::ConnectionLost, 9);
        CHECK(fleet.resume().decode == ReplicaId { 10 });
    }
}
