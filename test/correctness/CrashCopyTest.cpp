#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint64_t sharedSignature = 55;
constexpr std::uint64_t otherRequest = 100;
constexpr ReplicaId firstEngine { 10 };
/// Isolated requests have a prefill engine each.
constexpr std::uint32_t prefillEngines = 6;
constexpr auto longerThanReportWait = 50ms;
constexpr auto longerThanBusy = 210ms;
constexpr auto longerThanCopyWait = 2'100ms;

auto settingsFor(std::uint32_t instanceCount) -> ShardSettings
{
    auto settings = testSettings();
    settings.instanceCount = instanceCount;
    return settings;
}

/// An instance that gets copies of one request. The first two have started on the same decode engine.
struct InstanceWithCopies {
    ShardHarness harness;
    StartDecode first;
    StartDecode second;

    explicit InstanceWithCopies(std::uint32_t instanceCount = 2)
        : harness(settingsFor(instanceCount))
    {
        for (std::uint32_t id = 1; id <= prefillEngines; ++id)
            harness.replica(id, PoolRole::Prefill, 20);
        harness.replica(static_cast<std::uint32_t>(firstEngine), PoolRole::Decode, 20);
        arriveCopy(1);
        first = startDecode(*harness.last<StartPrefill>());
        arriveCopy(2);
        second = startDecode(*harness.last<StartPrefill>());
        harness.started(first);
        for (std::uint32_t id = 11; id < 15; ++id)
            harness.replica(id, PoolRole::Decode, 20);
    }

    auto arriveCopy(std::uint64_t id) -> void { harness.arrive(id, 0, 0, 1'000, sharedSignature); }

    auto startDecode(const StartPrefill& prefill) -> StartDecode
    {
        harness.prefilled(prefill);
        return *harness.last<StartDecode>();
    }

    auto fail(const StartDecode& decode, FailureKind failure, std::uint32_t tokens = 0) -> void
    {
        harness.send(DecodeFailed { decode.request, decode.attempt, failure, tokens });
    }

    /// Number of prefills and decodes that the last event started.
    auto starts() const -> std::size_t { return harness.count<StartPrefill>() + harness.count<StartDecode>(); }

    /// Brings the first copy, which has crashed its engine, to its decode in isolation.
    auto isolateFirst() -> StartDecode
    {
        harness.advance(longerThanReportWait);
        REQUIRE(harness.count<StartPrefill>() == 1);
        REQUIRE(harness.last<StartPrefill>()->request == first.request);
        const auto decode = startDecode(*harness.last<StartPrefill>());
        REQUIRE(decode.request == first.request);
        REQUIRE(harness.count<StartDecode>() == 1);
        harness.started(decode);
        return decode;
    }

    auto checkRefused(RequestId id, ExecutionOutcome outcome) const -> void
    {
        const auto refusal = std::ranges::find_if(harness.all, [&](const auto& action) {
            const auto* refuse = std::get_if<Refuse>(&action);
            return refuse && refuse->request == id;
        });
        REQUIRE(refusal != harness.all.end());
        CHECK(std::get<Refuse>(*refusal).reason == RefusalReason::CrashSuspect);
        CHECK(std::get<Refuse>(*refusal).outcome == outcome);
    }
};

}

// Guards against a third crash by a copy that could not connect to the crashed engine, and whose prefill
// result is still available. The scenario crashing-request-count showed this under load.
TEST_CASE("a copy that finds the engine of a suspect gone waits while the suspect runs again")
{
    InstanceWithCopies instance;
    instance.fail(instance.first, FailureKind::ConnectionLost, 3);
    instance.fail(instance.second, FailureKind::NotConnected);
    CHECK(instance.starts() == 0);
    const auto again = instance.isolateFirst();
    instance.harness.advance(100ms);
    CHECK(instance.starts() == 0);
    instance.fail(again, FailureKind::ConnectionLost, 3);
    CHECK(instance.starts() == 0);
    instance.checkRefused(instance.first.request, ExecutionOutcome::Unknown);
    instance.checkRefused(instance.second.request, ExecutionOutcome::NotRun);
}

// Guards against the same when the refused connection is reported before the lost one, so that the other copy
// has started again before there is a suspect.
TEST_CASE("a suspect waits for a copy that started before the crash was known")
{
    InstanceWithCopies instance;
    instance.fail(instance.second, FailureKind::NotConnected);
    const auto again = instance.harness.last<StartDecode>();
    REQUIRE(again);
    REQUIRE(again->decode != firstEngine);
    instance.fail(instance.first, FailureKind::ConnectionLost, 3);
    instance.harness.advance(longerThanReportWait);
    CHECK(instance.starts() == 0);
    instance.harness.started(*again);
    instance.fail(*again, FailureKind::ConnectionLost, 3);
    instance.harness.advance(longerThanReportWait);
    CHECK(instance.starts() == 0);
    instance.checkRefused(instance.first.request, ExecutionOutcome::Unknown);
    instance.checkRefused(instance.second.request, ExecutionOutcome::Unknown);
}

// Guards against a third crash by a copy that arrives, or whose prefill ends, while the suspect runs again.
TEST_CASE("copies that arrive while a suspect runs again wait for its outcome")
{
    InstanceWithCopies instance;
    instance.fail(instance.first, FailureKind::ConnectionLost, 3);
    instance.fail(instance.second, FailureKind::ConnectionLost, 3);
    const auto again = instance.isolateFirst();
    instance.arriveCopy(3);
    CHECK(instance.starts() == 0);
    instance.harness.arrive(otherRequest);
    CHECK(instance.harness.last<StartPrefill>()->request == RequestId { otherRequest });
    SECTION("it crashes another engine")
    {
        instance.fail(again, FailureKind::ConnectionLost, 3);
        CHECK(instance.starts() == 0);
        instance.checkRefused(RequestId { 3 }, ExecutionOutcome::NotRun);
    }
    SECTION("it gets past the point of the crash")
    {
        instance.harness.send(TokensEmitted { again.request, again.attempt, 30 });
        CHECK(instance.harness.count<StartPrefill>() == 2);
    }
    SECTION("its answer ends before that point")
    {
        instance.harness.send(DecodeFinished { again.request, again.attempt, 4 });
        CHECK(instance.harness.count<StartPrefill>() == 2);
    }
    SECTION("its caller cancels it, and the copies run one at a time")
    {
        instance.harness.send(RequestCancelled { again.request });
        REQUIRE(instance.harness.count<StartPrefill>() == 1);
        const auto next = instance.startDecode(*instance.harness.last<StartPrefill>());
        CHECK(instance.starts() == 1);
        instance.harness.started(next);
        instance.fail(next, FailureKind::ConnectionLost, 3);
        instance.harness.advance(longerThanReportWait);
        CHECK(instance.starts() == 0);
        instance.checkRefused(RequestId { 3 }, ExecutionOutcome::NotRun);
    }
    SECTION("it makes no progress")
    {
        instance.harness.advance(longerThanCopyWait);
        CHECK(instance.harness.count<StartPrefill>() == 2);
    }
}

// Guards against a prefill that ends while the suspect runs again and whose decode then starts beside it.
TEST_CASE("a prefill result of a copy waits while a suspect runs again")
{
    InstanceWithCopies instance;
    auto& harness = instance.harness;
    instance.arriveCopy(3);
    const auto prefill = *harness.last<StartPrefill>();
    harness.arrive(otherRequest);
    const auto otherPrefill = *harness.last<StartPrefill>();
    instance.fail(instance.first, FailureKind::ConnectionLost, 3);
    instance.fail(instance.second, FailureKind::ConnectionLost, 3);
    // The prefill of the copy runs, and it could crash an engine as well.
    harness.advance(longerThanReportWait);
    REQUIRE(instance.starts() == 0);
    harness.prefilled(prefill);
    CHECK(harness.count<StartDecode>() == 0);
    harness.prefilled(otherPrefill);
    CHECK(harness.last<StartDecode>()->request == RequestId { otherRequest });
    CHECK(harness.count<StartDecode>() == 1);
    const auto again = *harness.lastEver<StartPrefill>();
    REQUIRE(again.request == instance.first.request);
    const auto decode = instance.startDecode(again);
    CHECK(harness.count<StartDecode>() == 1);
    harness.started(decode);
    instance.fail(decode, FailureKind::ConnectionLost, 3);
    CHECK(instance.starts() == 0);
    instance.checkRefused(instance.first.request, ExecutionOutcome::Unknown);
    instance.checkRefused(instance.second.request, ExecutionOutcome::Unknown);
    instance.checkRefused(prefill.request, ExecutionOutcome::NotRun);
}

// Guards against the same at an instance that hears of the crash from a peer, and against prefill results of
// other requests that wait behind that of the copy.
TEST_CASE("a prefill result of a copy waits after a peer has reported a crash")
{
    ShardHarness harness(settingsFor(2));
    harness.replica(1, PoolRole::Prefill, 20);
    for (std::uint32_t id = 10; id < 13; ++id)
        harness.replica(id, PoolRole::Decode, 20);
    harness.arrive(1, 0, 0, 1'000, sharedSignature);
    const auto prefill = *harness.last<StartPrefill>();
    harness.arrive(otherRequest);
    const auto otherPrefill = *harness.last<StartPrefill>();
    harness.send(CrashReported { sharedSignature, firstEngine, false });
    harness.prefilled(prefill);
    CHECK_FALSE(harness.last<StartDecode>());
    harness.now += 1ms;
    harness.prefilled(otherPrefill);
    CHECK(harness.last<StartDecode>()->request == RequestId { otherRequest });
    harness.send(CrashSignatureReported { sharedSignature });
    CHECK(harness.last<Refuse>()->reason == RefusalReason::CrashSuspect);
    CHECK(harness.last<Refuse>()->outcome == ExecutionOutcome::NotRun);
}

// Guards against waiting copies that hold up other requests: those behind them in the queue of their customer,
// and interrupted streams.
TEST_CASE("waiting copies of a suspect hold up no other request")
{
    InstanceWithCopies instance(1);
    auto& harness = instance.harness;
    harness.arrive(otherRequest);
    const auto stream = instance.startDecode(*harness.last<StartPrefill>());
    harness.started(stream);
    // No request starts while the prefill engines are busy.
    harness.arrive(otherRequest + 1);
    for (std::uint32_t engine = 0; engine < prefillEngines; ++engine) {
        const auto prefill = *harness.last<StartPrefill>();
        harness.send(PrefillFailed { prefill.request, prefill.attempt, FailureKind::Busy });
    }
    constexpr std::uint64_t copies = 20;
    for (std::uint64_t id = 3; id < 3 + copies; ++id)
        instance.arriveCopy(id);
    harness.arrive(otherRequest + 2);
    instance.fail(instance.first, FailureKind::ConnectionLost, 3);
    instance.fail(stream, FailureKind::TimedOut, 3);
    REQUIRE(instance.starts() == 0);
    harness.advance(longerThanBusy);
    std::set<RequestId> started;
    for (const auto& action : harness.actions) {
        if (const auto* prefill = std::get_if<StartPrefill>(&action))
            started.insert(prefill->request);
    }
    CHECK(started == std::set { RequestId { otherRequest }, RequestId { otherRequest + 1 }, RequestId { otherRequest + 2 } });
}

// Guards against a silent engine whose request gets no other one, because waiting copies count as interrupted requests
// that start first.
TEST_CASE("waiting copies of a suspect do not keep a silent attempt from being replaced")
{
    InstanceWithCopies instance;
    const auto silent = instance.harness.startDecode(otherRequest);
    instance.fail(instance.first, FailureKind::ConnectionLost, 3);
    instance.fail(instance.second, FailureKind::ConnectionLost, 3);
    instance.isolateFirst();
    instance.harness.send(AttemptSilent { silent.request, silent.attempt, 0 });
    REQUIRE(instance.harness.count<StartPrefill>() == 1);
    CHECK(instance.harness.last<StartPrefill>()->request == silent.request);
}
