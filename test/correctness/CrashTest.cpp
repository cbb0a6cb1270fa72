#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint32_t firstDecode = 10;
constexpr std::uint32_t decodeCount = 4;

/// Simulates engines that run a number of requests, some of which crash the engine that decodes them.
class CrashingEngines {
public:
    CrashingEngines(std::set<RequestId> crashing, bool crashingFailFirst)
        : m_crashing(std::move(crashing))
        , m_crashingFailFirst(crashingFailFirst)
    {
        for (std::uint32_t id = 1; id <= 4; ++id)
            harness.replica(id, PoolRole::Prefill, 8);
        harness.replica(firstDecode, PoolRole::Decode, 20);
    }

    /// All requests start on one engine. The other engines are added after that.
    auto start(std::uint64_t requestCount) -> void
    {
        for (std::uint64_t id = 1; id <= requestCount; ++id) {
            harness.arrive(id, 1);
            processActions();
        }
        finishPrefills();
        for (std::uint32_t id = firstDecode + 1; id < firstDecode + decodeCount; ++id)
            harness.replica(id, PoolRole::Decode, 20);
        processActions();
    }

    auto step() -> void
    {
        harness.advance(50ms);
        processActions();
        finishPrefills();
        crashEngines();
        const auto decodes = m_decodes;
        for (const auto& [id, decode] : decodes)
            advanceDecode(decode);
    }

    ShardHarness harness;
    std::set<RequestId> finished;
    std::map<RequestId, Refuse> refused;
    std::set<std::uint64_t> reported;
    int crashes = 0;

private:
    auto processActions() -> void
    {
        const auto actions = harness.actions;
        harness.actions.clear();
        for (const auto& action : actions) {
            if (const auto* prefill = std::get_if<StartPrefill>(&action))
                m_prefills[prefill->request] = *prefill;
            else if (const auto* decode = std::get_if<StartDecode>(&action))
                m_decodes[decode->request] = *decode;
            else if (const auto* refusal = std::get_if<Refuse>(&action))
                refused.emplace(refusal->request, *refusal);
            else if (const auto* report = std::get_if<ReportCrashSignature>(&action))
                reported.insert(report->signature);
        }
    }

    auto send(const DecisionEvent& event) -> void
    {
        harness.send(event);
        processActions();
    }

    auto finishPrefills() -> void
    {
        const auto prefills = std::exchange(m_prefills, {});
        for (const auto& [id, start] : prefills)
            send(PrefillDone { id, start.attempt, harness.now + 800ms, 0 });
    }

    auto crashEngines() -> void
    {
        std::set<ReplicaId> crashed;
        for (const auto& [id, decode] : m_decodes) {
            if (m_crashing.contains(id))
                crashed.insert(decode.decode);
        }
        for (const auto engine : crashed)
            crash(engine);
    }

    auto crash(ReplicaId engine) -> void
    {
        ++crashes;
        std::vector<StartDecode> lost;
        for (const auto& [id, decode] : m_decodes) {
            if (decode.decode == engine)
                lost.push_back(decode);
        }
        std::stable_partition(lost.begin(), lost.end(), [&](const StartDecode& decode) {
            return m_crashing.contains(decode.request) == m_crashingFailFirst;
        });
        for (const auto& decode : lost)
            m_decodes.erase(decode.request);
        for (const auto& decode : lost)
            send(DecodeFailed { decode.request, decode.attempt, FailureKind::ConnectionLost, m_tokens[decode.request] });
    }

    auto advanceDecode(const StartDecode& decode) -> void
    {
        const auto current = m_decodes.find(decode.request);
        if (current == m_decodes.end() || current->second.attempt != decode.attempt)
            return;
        auto& tokens = m_tokens[decode.request];
        tokens += 3;
        send(TokensEmitted { decode.request, decode.attempt, tokens });
        constexpr std::uint32_t length = 60;
        if (tokens < length)
            return;
        m_decodes.erase(decode.request);
        finished.insert(decode.request);
        send(DecodeFinished { decode.request, decode.attempt, tokens });
    }

    std::set<RequestId> m_crashing;
    bool m_crashingFailFirst;
    std::map<RequestId, StartPrefill> m_prefills;
    std::map<RequestId, StartDecode> m_decodes;
    std::map<RequestId, std::uint32_t> m_tokens;
};

auto play(CrashingEngines& engines, std::uint64_t requestCount) -> void
{
    engines.start(requestCount);
    for (int step = 0; step < 600; ++step)
        engines.step();
}

}

// Guards against a request that crashes one engine after another, and against refusing or blaming the
// requests that run beside it.
TEST_CASE("a crashing request is identified within two crashes and the other requests are answered")
{
    const auto crashingFailsFirst = GENERATE(true, false);
    CrashingEngines engines({ RequestId { 7 } }, crashingFailsFirst);
    play(engines, 20);
    CHECK(engines.crashes == 2);
    CHECK(engines.finished.size() == 19);
    REQUIRE(engines.refused.size() == 1);
    REQUIRE(engines.refused.contains(RequestId { 7 }));
    CHECK(engines.refused.at(RequestId { 7 }).reason == RefusalReason::CrashSuspect);
    CHECK(engines.refused.at(RequestId { 7 }).outcome == ExecutionOutcome::Unknown);
    CHECK(engines.reported == std::set<std::uint64_t> { 7 });
}

// Guards against two crashing requests on one engine, of which each is blamed for the crash of the
// other.
TEST_CASE("each of two crashing requests is identified at its second crash")
{
    CrashingEngines engines({ RequestId { 3 }, RequestId { 12 } }, true);
    play(engines, 20);
    CHECK(engines.crashes == 3);
    CHECK(engines.finished.size() == 18);
    CHECK(engines.reported == std::set<std::uint64_t> { 3, 12 });
}

// Guards against an engine that gets no new work because a single connection broke.
TEST_CASE("a lost connection is not a crash while other streams of the engine continue")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 8);
    harness.replica(2, PoolRole::Decode, 8);
    std::vector<StartDecode> decodes;
    for (std::uint64_t id = 1; id <= 2; ++id)
        decodes.push_back(harness.startDecode(id));
    harness.now += 100ms;
    harness.send(DecodeFailed { decodes[0].request, decodes[0].attempt, FailureKind::ConnectionLost, 3 });
    harness.arrive(10);
    CHECK_FALSE(harness.last<StartPrefill>());
    harness.now += 30ms;
    harness.send(TokensEmitted { decodes[1].request, decodes[1].attempt, 6 });
    CHECK(harness.last<StartPrefill>());
}

// Guards against a network failure of a zone that is taken for crashes, so that the requests of all its
// replicas run in isolation.
TEST_CASE("connections of several replicas that break at once are not a crash")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 8);
    std::vector<StartDecode> decodes;
    for (std::uint32_t id = 10; id < 13; ++id) {
        harness.replica(id, PoolRole::Decode, 1);
        harness.arrive(id);
        harness.prefilled(*harness.last<StartPrefill>());
        decodes.push_back(*harness.last<StartDecode>());
        harness.started(decodes.back());
    }
    harness.replica(20, PoolRole::Decode, 8);
    harness.now += 100ms;
    std::size_t starts = 0;
    for (const auto& decode : decodes) {
        harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ConnectionLost, 3 });
        starts += harness.count<StartPrefill>();
    }
    CHECK(starts == 3);
}

// Guards against a caller that sends a crashing request again, to this instance or to a peer.
TEST_CASE("a request with a reported signature is refused as not run")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 4);
    harness.replica(2, PoolRole::Decode, 4);
    harness.send(CrashSignatureReported { 55 });
    harness.arrive(1, 0, 0, 1'000, 55);
    REQUIRE(harness.last<Refuse>());
    CHECK(harness.last<Refuse>()->reason == RefusalReason::CrashSuspect);
    CHECK(harness.last<Refuse>()->outcome == ExecutionOutcome::NotRun);
    CHECK(harness.last<Refuse>()->retryAfter == Duration::zero());
}

namespace {

constexpr std::uint64_t sharedSignature = 55;
constexpr auto longerThanReportWait = 50ms;

auto sharedSettings() -> ShardSettings
{
    auto settings = testSettings();
    settings.instanceCount = 2;
    return settings;
}

/// One of two instances that share decode engines. Each of them has a copy of the same request.
struct InstanceWithCopy {
    ShardHarness harness { sharedSettings() };
    StartDecode decode;

    explicit InstanceWithCopy(std::uint32_t startedOn)
    {
        harness.replica(1, PoolRole::Prefill, 8);
        harness.replica(startedOn, PoolRole::Decode, 8);
        harness.arrive(1, 0, 0, 1'000, sharedSignature);
        harness.prefilled(*harness.last<StartPrefill>());
        decode = *harness.last<StartDecode>();
        harness.started(decode);
        for (std::uint32_t id = firstDecode; id < firstDecode + decodeCount; ++id) {
            if (id != startedOn)
                harness.replica(id, PoolRole::Decode, 8);
        }
    }

    auto crash() -> ReportCrash
    {
        harness.send(DecodeFailed { decode.request, decode.attempt, FailureKind::ConnectionLost, 3 });
        return *harness.last<ReportCrash>();
    }

    auto receiveReport(const ReportCrash& report, bool peerRetriesFirst) -> void
    {
        harness.send(CrashReported { report.signature, report.replica, peerRetriesFirst });
    }
};

}

// Guards against four crashes when a caller sends a crashing request through two instances at once,
// since each instance sees only its own crashes.
TEST_CASE("a request that crashes one engine at each of two instances is refused by both")
{
    InstanceWithCopy first(firstDecode);
    InstanceWithCopy second(firstDecode + 1);
    const auto firstReport = first.crash();
    const auto secondReport = second.crash();
    first.receiveReport(secondReport, false);
    second.receiveReport(firstReport, true);
    for (auto* holder : { &first, &second }) {
        CHECK(holder->harness.count<StartPrefill>() == 0);
        holder->harness.advance(longerThanReportWait);
        REQUIRE(holder->harness.last<Refuse>());
        CHECK(holder->harness.last<Refuse>()->reason == RefusalReason::CrashSuspect);
        CHECK(holder->harness.last<Refuse>()->outcome == ExecutionOutcome::Unknown);
        CHECK(holder->harness.last<ReportCrashSignature>()->signature == sharedSignature);
        CHECK(holder->harness.count<StartPrefill>() == 0);
    }
}

// Guards against two more crashes when both copies of a request ran on one engine and run again at the
// same time.
TEST_CASE("only one of two copies that were lost with one engine runs again at first")
{
    InstanceWithCopy first(firstDecode);
    InstanceWithCopy second(firstDecode);
    const auto firstReport = first.crash();
    const auto secondReport = second.crash();
    first.receiveReport(secondReport, false);
    second.receiveReport(firstReport, true);
    first.harness.advance(longerThanReportWait);
    second.harness.advance(longerThanReportWait);
    CHECK(first.harness.count<StartPrefill>() == 1);
    CHECK(second.harness.count<StartPrefill>() == 0);
    second.harness.advance(1s);
    CHECK(second.harness.count<StartPrefill>() == 1);
}

// Guards against one more crash by a copy that had not started when the engine of the other copy
// crashed. The scenario crashing-request-twice showed this under load, when the engine refused the
// connection.
TEST_CASE("a copy that has not run yet waits until the peer's copy has run again")
{
    const auto peerRetriesFirst = GENERATE(true, false);
    ShardHarness harness(sharedSettings());
    harness.replica(1, PoolRole::Prefill, 8);
    harness.replica(firstDecode, PoolRole::Decode, 8);
    harness.replica(firstDecode + 1, PoolRole::Decode, 8);
    harness.send(CrashReported { sharedSignature, ReplicaId { firstDecode }, peerRetriesFirst });
    harness.arrive(1, 0, 0, 1'000, sharedSignature);
    harness.advance(longerThanReportWait);
    CHECK_FALSE(harness.lastEver<StartPrefill>());
    harness.arrive(2);
    CHECK(harness.lastEver<StartPrefill>()->request == RequestId { 2 });
    harness.send(CrashSignatureReported { sharedSignature });
    CHECK(harness.last<Refuse>()->reason == RefusalReason::CrashSuspect);
    CHECK(harness.last<Refuse>()->outcome == ExecutionOutcome::NotRun);
}

// Guards against blaming a frequently sent request for the loss of a zone.
TEST_CASE("reports of peers about a disconnected zone blame no request")
{
    InstanceWithCopy holder(firstDecode);
    holder.crash();
    for (std::uint32_t id = firstDecode + 1; id < firstDecode + 3; ++id)
        holder.receiveReport({ sharedSignature, ReplicaId { id } }, false);
    holder.harness.advance(longerThanReportWait);
    CHECK_FALSE(holder.harness.lastEver<Refuse>());
    CHECK(holder.harness.lastEver<StartPrefill>()->attempt == 2);
}

// Guards against blaming a request that has got past the point of its crash in the meantime.
TEST_CASE("a request that got past the point of its crash is not blamed for a peer's crash")
{
    InstanceWithCopy holder(firstDecode);
    holder.crash();
    holder.harness.advance(longerThanReportWait);
    holder.harness.prefilled(*holder.harness.last<StartPrefill>());
    const auto again = *holder.harness.last<StartDecode>();
    holder.harness.started(again);
    holder.harness.send(TokensEmitted { again.request, again.attempt, 30 });
    holder.receiveReport({ sharedSignature, ReplicaId { firstDecode + 3 } }, false);
    holder.harness.advance(longerThanReportWait);
    CHECK_FALSE(holder.harness.lastEver<Refuse>());
}

// Guards against a third crash because an engine's crash is put down to a suspect that only holds a slot there for
// after its prefill, and not to the request that ran.
TEST_CASE("a suspect that only holds a slot of an engine is not blamed for its crash")
{
    ShardHarness harness(sharedSettings());
    harness.replica(1, PoolRole::Prefill, 20);
    harness.replica(10, PoolRole::Decode, 20);
    const auto lost = harness.startDecode(1);
    harness.replica(10, PoolRole::Decode, 20, ReplicaState::Leaving);
    harness.replica(11, PoolRole::Decode, 20);
    const auto running = harness.startDecode(2);
    harness.send(DecodeFailed { lost.request, lost.attempt, FailureKind::ConnectionLost, 3 });
    harness.advance(longerThanReportWait);
    REQUIRE(harness.last<StartPrefill>()->request == lost.request);
    REQUIRE(harness.last<StartPrefill>()->decode == running.decode);
    harness.send(DecodeFailed { running.request, running.attempt, FailureKind::ConnectionLost, 3 });
    REQUIRE(harness.last<ReportCrash>());
    CHECK(harness.last<ReportCrash>()->signature == 2);
    CHECK(harness.last<ReportCrash>()->replica == running.decode);
}
