#include "RoleBalance.h"
#include "ShardHarness.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr Duration step = 20ms;
constexpr std::uint32_t answerTokens = 80;

/// Engines of given speeds with one shard, in virtual time. Replicas 1 to 8 prefill and 101 to 116 decode; the first
/// quarter of each role is slow.
struct UnevenFleet {
    struct Decode {
        StartDecode start;
        TimePoint startedAt;
        double tokens = 0;
        std::uint32_t reported = 0;
    };
    struct Prefill {
        StartPrefill start;
        double tokens = 0;
    };

    ShardHarness harness;
    double slowSpeed;
    double fastSpeed;
    std::vector<Decode> decodes;
    std::vector<Prefill> prefills;
    std::size_t handled = 0;
    std::uint64_t lastRequest = 0;
    std::map<bool, int> decodesBySlow;
    std::map<bool, int> prefillsBySlow;
    Duration decodeTime {};
    int finished = 0;

    UnevenFleet(double slow, double fast)
        : slowSpeed(slow)
        , fastSpeed(fast)
    {
        for (std::uint32_t id = 1; id <= 8; ++id)
            harness.replica(id, PoolRole::Prefill, 4);
        for (std::uint32_t id = 101; id <= 116; ++id)
            harness.replica(id, PoolRole::Decode, 12);
    }

    static auto isSlow(ReplicaId id) -> bool
    {
        const auto number = static_cast<std::uint32_t>(id);
        return number <= 2 || (number > 100 && number <= 104);
    }
    auto speedOf(ReplicaId id) const -> double { return isSlow(id) ? slowSpeed : fastSpeed; }

    auto handleActions() -> void
    {
        for (; handled < harness.all.size(); ++handled) {
            const auto action = harness.all[handled];
            if (const auto* prefill = std::get_if<StartPrefill>(&action)) {
                prefills.push_back({ *prefill });
                ++prefillsBySlow[isSlow(prefill->prefill)];
            } else if (const auto* decode = std::get_if<StartDecode>(&action)) {
                decodes.push_back({ *decode, harness.now });
                ++decodesBySlow[isSlow(decode->decode)];
                harness.started(*decode);
            }
        }
    }

    auto runPrefills() -> void
    {
        std::map<ReplicaId, bool> isBusy;
        for (std::size_t index = 0; index < prefills.size();) {
            auto& prefill = prefills[index];
            if (!std::exchange(isBusy[prefill.start.prefill], true))
                prefill.tokens += 200 * speedOf(prefill.start.prefill);
            if (prefill.tokens < 3'200) {
                ++index;
                continue;
            }
            const auto start = prefill.start;
            prefills.erase(prefills.begin() + static_cast<std::ptrdiff_t>(index));
            harness.prefilled(start);
            handleActions();
        }
    }

    auto runDecodes() -> void
    {
        for (std::size_t index = 0; index < decodes.size();) {
            auto& decode = decodes[index];
            decode.tokens += 0.8 * speedOf(decode.start.decode);
            const auto total = std::min(static_cast<std::uint32_t>(decode.tokens), answerTokens);
            if (total > decode.reported)
                harness.send(TokensEmitted { decode.start.request, decode.start.attempt, decode.reported = total });
            if (total < answerTokens) {
                ++index;
                continue;
            }
            const auto ended = decode;
            decodes.erase(decodes.begin() + static_cast<std::ptrdiff_t>(index));
            decodeTime += harness.now - ended.startedAt;
            ++finished;
            harness.send(DecodeFinished { ended.start.request, ended.start.attempt, answerTokens });
            handleActions();
        }
    }

    /// @param perSecond requests a second; for 5 s of each 15 s it is twice as many.
    auto run(Duration time, double perSecond) -> void
    {
        double due = 0;
        for (Duration passed {}; passed < time; passed += step) {
            harness.now += step;
            due += perSecond * (passed % 15s < 5s ? 2 : 1) * 0.02;
            for (; due >= 1; due -= 1) {
                harness.arrive(++lastRequest, 1, 0, 3'200);
                handleActions();
            }
            runPrefills();
            runDecodes();
            harness.send(Tick {});
            handleActions();
        }
    }

    auto forgetCounts() -> void
    {
        decodesBySlow.clear();
        prefillsBySlow.clear();
        decodeTime = {};
        finished = 0;
    }
};

auto slowShare(std::map<bool, int>& counts) -> double
{
    return static_cast<double>(counts[true]) / (counts[true] + counts[false]);
}

}

// Load pattern: a quarter of the engines run at 0.55 of the nominal speed, the others at 1.2, with bursts of twice the load.
// Guards against slow engines that get as many requests as fast ones.
TEST_CASE("slow engines get fewer requests")
{
    UnevenFleet fleet(0.55, 1.2);
    fleet.run(30s, 12);
    fleet.forgetCounts();
    fleet.run(60s, 12);
    CHECK(fleet.finished > 700);
    CHECK(slowShare(fleet.decodesBySlow) < 0.12);
    CHECK(slowShare(fleet.prefillsBySlow) < 0.12);
    CHECK(fleet.decodeTime / fleet.finished < 2s);
}

// Load pattern: the load needs all engines. Guards against slow engines that get no work although they could serve it.
TEST_CASE("slow engines are used when the fast ones are busy")
{
    UnevenFleet fleet(0.55, 1.2);
    fleet.run(30s, 15);
    fleet.forgetCounts();
    fleet.run(30s, 15);
    CHECK(slowShare(fleet.prefillsBySlow) > 0.05);
    CHECK(fleet.harness.lastEver<Refuse>() == std::nullopt);
}

// Load pattern: equal engines whose observed speeds vary by a few percent.
// Guards against decisions that differ from those without observations.
TEST_CASE("small differences in speed change no decision")
{
    UnevenFleet equal(1, 1);
    UnevenFleet varied(0.97, 1.03);
    // Both run the requests at the same speed, and only one of them reports what the other observes as differences.
    for (std::uint32_t id = 101; id <= 116; ++id)
        varied.harness.send(ReplicaSpeedReported { ReplicaId { id }, WorkType::Decode, { 1, id % 2 ? 0.92 : 1.08, 2, varied.harness.now } });
    varied.slowSpeed = varied.fastSpeed = 1;
    equal.run(8s, 12);
    varied.run(8s, 12);
    CHECK(equal.decodesBySlow == varied.decodesBySlow);
    CHECK(equal.prefillsBySlow == varied.prefillsBySlow);
    CHECK(equal.decodeTime == varied.decodeTime);
}

// Load pattern: an engine is replaced under the same id by a process of another speed.
// Guards against a replacement that is avoided because of its predecessor.
TEST_CASE("a replacement starts without earlier observations")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 100);
    harness.replica(100, PoolRole::Decode, 10);
    harness.send(ReplicaSpeedReported { ReplicaId { 100 }, WorkType::Decode, { 1, 0.3, 2, harness.now } });
    CHECK(summarizeSpeeds(harness.shard).slower == 1);
    harness.send(ReplicaChanged { .replica = ReplicaId { 100 }, .role = PoolRole::Decode, .state = ReplicaState::Live, .slots = 10, .process = 7 });
    CHECK(summarizeSpeeds(harness.shard).slower == 0);
    // A late report on the work of another role says nothing about this one.
    harness.send(ReplicaSpeedReported { ReplicaId { 100 }, WorkType::Prefill, { 1, 0.3, 2, harness.now } });
    CHECK(summarizeSpeeds(harness.shard).slower == 0);
}

// Load pattern: a wrong report about an idle engine. Guards against one that is avoided for longer than the report holds.
TEST_CASE("an idle engine is used again when a report expires")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 100);
    harness.replica(100, PoolRole::Decode, 10);
    harness.send(ReplicaSpeedReported { ReplicaId { 100 }, WorkType::Decode, { 1, 0.2, 2, harness.now } });
    REQUIRE(summarizeSpeeds(harness.shard).lowest < 0.5);
    for (int second = 0; second < 11; ++second)
        harness.advance(1s);
    CHECK(summarizeSpeeds(harness.shard).lowest == 1);
}

// Load pattern: cheap engines nearby and expensive bytes between zones.
// Guards against transfers between zones for an engine that is only faster.
TEST_CASE("an idle slow engine of the own zone comes before a fast one elsewhere")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 100);
    harness.replica(100, PoolRole::Decode, 10);
    harness.replica(101, PoolRole::Decode, 10, ReplicaState::Live, 1);
    harness.send(ReplicaSpeedReported { ReplicaId { 100 }, WorkType::Decode, { 1, 0.5, 2, harness.now } });
    CHECK(harness.startDecode(1).decode == ReplicaId { 100 });
    // Its requests stay longer, so it counts as busy with fewer of them.
    CHECK(harness.startDecode(2).decode == ReplicaId { 100 });
    CHECK(harness.startDecode(3).decode == ReplicaId { 101 });
}

// Load pattern: decodes fill engines of which some are slow.
// Guards against a balance of roles that counts slow engines as whole ones.
TEST_CASE("the balance of roles counts engines by their speed")
{
    const auto changeFor = [](double decodeSurplus) {
        RoleBalance balance;
        const RoleDemand demand { .prefillReplicas = 4, .decodeReplicas = 6, .prefillSurplus = 0, .decodeSurplus = decodeSurplus, .prefillWork = 3.2, .decodeWork = 2.4 };
        for (auto now = TimePoint(1s); now < TimePoint(20s); now += 250ms)
            observeDemand(balance, now, demand);
        return desiredRoleChange(balance, TimePoint(20s), demand);
    };
    CHECK(changeFor(0) == 0);
    CHECK(changeFor(-1.8) == 1);
}

// Guards against work at a slow engine that counts like the same at a fast one.
TEST_CASE("the demand of a role is in engines of mean speed")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 100);
    harness.replica(100, PoolRole::Decode, 10);
    harness.startDecode(1);
    const auto before = roleDemand(harness.shard);
    CHECK(before.decodeSurplus == 0);
    harness.send(ReplicaSpeedReported { ReplicaId { 100 }, WorkType::Decode, { 1, 0.5, 2, harness.now } });
    const auto after = roleDemand(harness.shard);
    CHECK(after.decodeSurplus == Approx(-0.4));
    CHECK(after.decodeWork == Approx(before.decodeWork * 0.6));
    CHECK(after.decodeReplicas == before.decodeReplicas);
}
