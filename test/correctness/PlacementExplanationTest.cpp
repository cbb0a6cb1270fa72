#include "ShardHarness.h"

#include "PlacementExplanation.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>
#include <sstream>

using namespace jayhold;
using namespace jayhold::test;

namespace {

/// @return the decision on a request; `waits` if there is none yet.
auto textOf(const DecisionAction& action, std::uint64_t id) -> std::string
{
    const RequestId request { id };
    std::ostringstream text;
    if (const auto* prefill = std::get_if<StartPrefill>(&action); prefill && prefill->request == request)
        text << "prefill " << static_cast<std::uint32_t>(prefill->prefill) << " decode " << static_cast<std::uint32_t>(prefill->decode);
    else if (const auto* decode = std::get_if<StartDecode>(&action); decode && decode->request == request)
        text << "decode " << static_cast<std::uint32_t>(decode->decode);
    else if (const auto* refusal = std::get_if<Refuse>(&action); refusal && refusal->request == request)
        text << "refused " << static_cast<int>(refusal->reason) << " after " << refusal->retryAfter.count();
    return text.str();
}

auto decisionOn(const std::vector<DecisionAction>& actions, std::uint64_t id) -> std::string
{
    std::string decision = "waits";
    for (const auto& action : actions) {
        if (const auto text = textOf(action, id); !text.empty())
            decision = text;
    }
    return decision;
}

auto decisionOn(const PlacementExplanation& explanation, std::uint64_t id) -> std::string
{
    return std::visit([&](const auto& decision) -> std::string {
        if constexpr (std::is_same_v<std::decay_t<decltype(decision)>, PlacementWait>)
            return "waits";
        else
            return textOf(decision, id);
    },
        explanation.decision);
}

/// Sends a random sequence of events to two equal shards and explains each request to one of them before it arrives.
struct Comparison {
    ShardHarness explained;
    ShardHarness other;
    std::minstd_rand random { 11 };
    std::vector<DecisionEvent> open;
    std::set<std::string> seen;

    explicit Comparison(const ShardSettings& settings)
        : explained(settings)
        , other(settings)
    {
        const std::array roles { PoolRole::Prefill, PoolRole::Decode };
        for (std::uint32_t id = 1; id <= 6; ++id)
            send(ReplicaChanged { .replica = ReplicaId { id }, .role = roles.at(id % 2), .zone = ZoneId { static_cast<std::uint16_t>(id / 4) }, .state = ReplicaState::Live, .slots = 5, .memoryBlocks = 60, .memoryBlockTokens = 2'000, .linkBytesPerSecond = 100'000'000'000 });
    }

    auto send(const DecisionEvent& event) -> void
    {
        explained.send(event);
        other.send(event);
    }

    auto arrival(std::uint64_t id) -> RequestArrived
    {
        return {
            .request = RequestId { id },
            .kind = KindId { static_cast<std::uint16_t>(random() % 3) },
            .customer = CustomerId { static_cast<std::uint32_t>(random() % 3) },
            .promptTokens = 500 + static_cast<std::uint32_t>(random() % 40'000),
            .maxTokens = 200,
            .deadline = explained.now + std::chrono::seconds(1 + random() % 20),
            .prefixBlocks = { random() % 4, 10 + random() % 4 },
            .signature = 1 + random() % 50,
        };
    }

    auto nextEvent() -> DecisionEvent
    {
        if (random() % 25 == 0)
            return ReplicaPaused { ReplicaId { 1 + static_cast<std::uint32_t>(random() % 6) }, explained.now + 300ms, explained.now + 500ms };
        if (open.empty())
            return Tick {};
        const auto chosen = open.begin() + static_cast<std::ptrdiff_t>(random() % open.size());
        auto event = *chosen;
        open.erase(chosen);
        return event;
    }

    auto follow() -> void
    {
        for (const auto& action : explained.actions) {
            if (const auto* prefill = std::get_if<StartPrefill>(&action))
                open.emplace_back(PrefillDone { prefill->request, prefill->attempt, explained.now + 900ms, 0 });
            const auto* decode = std::get_if<StartDecode>(&action);
            if (!decode)
                continue;
            open.emplace_back(DecodeStarted { decode->request, decode->attempt });
            if (random() % 12 == 0)
                open.emplace_back(DecodeFailed { .request = decode->request, .attempt = decode->attempt, .failure = FailureKind::Busy, .emittedTokens = 0 });
            open.emplace_back(DecodeFinished { decode->request, decode->attempt, 20 + static_cast<std::uint32_t>(random() % 100) });
        }
    }

    auto step(std::uint64_t id) -> void
    {
        explained.now = other.now += Duration(random() % 40'000);
        const auto isArrival = random() % 3 == 0;
        const auto event = isArrival ? DecisionEvent(arrival(id)) : nextEvent();
        std::string expected;
        if (isArrival) {
            const auto explanation = explainArrival(copyOf(explained.shard), explained.now, std::get<RequestArrived>(event));
            expected = decisionOn(explanation, id);
            CHECK(explanation.candidates.size() == 6);
        }
        send(event);
        if (isArrival) {
            CHECK(decisionOn(explained.actions, id) == expected);
            seen.insert(expected.substr(0, expected.find(' ')));
        }
        compare();
        follow();
    }

    auto compare() const -> void
    {
        REQUIRE(explained.actions.size() == other.actions.size());
        for (std::size_t index = 0; index < explained.actions.size(); ++index)
            CHECK(explained.actions[index].index() == other.actions[index].index());
        for (const auto& action : explained.actions) {
            if (const auto* refusal = std::get_if<Refuse>(&action))
                CHECK(decisionOn(explained.actions, static_cast<std::uint64_t>(refusal->request)) == decisionOn(other.actions, static_cast<std::uint64_t>(refusal->request)));
        }
        const auto before = ownUsage(other.shard);
        const auto after = ownUsage(explained.shard);
        REQUIRE(before.size() == after.size());
        CHECK(summarize(explained.shard).queued == summarize(other.shard).queued);
        CHECK(summarize(explained.shard).remainingRetries == summarize(other.shard).remainingRetries);
        CHECK(retryBudget(explained.shard).capacity() == retryBudget(other.shard).capacity());
    }
};

}

// Load: random arrivals beyond the capacity, failures and pauses, with and without ranks. Guards against an explanation that
// differs from the decision, and against one that changes reservations, estimates, counters or the random sequence: the later
// decisions and retry delays of a shard that was asked would differ from those of an equal one.
TEST_CASE("an explanation names the decision on the next request and changes nothing")
{
    for (const std::int64_t urgent : { std::int64_t { 1 }, std::int64_t { 0 } }) {
        auto settings = testSettings();
        settings.refuseOverdue = true;
        settings.instanceCount = 3;
        settings.kinds[0].priority = urgent;
        settings.decodeMayPrefill = urgent == 0;
        Comparison comparison(settings);
        for (std::uint64_t id = 1; id <= 3'000; ++id)
            comparison.step(id);
        comparison.send(DrainStarted { .endsAt = comparison.explained.now + 5s, .refusesNewRequests = true });
        comparison.step(4'000);
        CHECK(comparison.seen.contains("prefill"));
        CHECK(comparison.seen.contains("decode") == settings.decodeMayPrefill);
        CHECK(comparison.seen.contains("waits"));
        CHECK(comparison.seen.contains("refused"));
    }
}

// Guards against candidates that are reported without what kept them from being chosen, and against a wait without its cause.
TEST_CASE("an explanation shows why replicas were not chosen and what a request waits for")
{
    ShardHarness harness;
    harness.replica(1, PoolRole::Prefill, 2);
    harness.replica(2, PoolRole::Decode, 1);
    harness.replica(3, PoolRole::Decode, 1, ReplicaState::Leaving);
    const RequestArrived arrival { .request = RequestId { 9 }, .kind = KindId { 1 }, .customer = {}, .promptTokens = 1'000, .maxTokens = 200, .deadline = harness.now + 60s, .prefixBlocks = {}, .signature = 9 };
    const auto explain = [&] { return explainArrival(copyOf(harness.shard), harness.now, arrival); };
    const auto free = explain();
    REQUIRE(std::holds_alternative<StartPrefill>(free.decision));
    CHECK(free.isDecodeSlotFree);
    REQUIRE(free.candidates.size() == 3);
    CHECK(free.candidates[0].prefillCost);
    CHECK(free.candidates[1].description.replica == ReplicaId { 2 });
    CHECK_FALSE(free.candidates[1].obstacle);
    CHECK(free.candidates[2].obstacle == PlacementObstacle::NotLive);
    harness.startDecode(1);
    const auto full = explain();
    REQUIRE(std::holds_alternative<PlacementWait>(full.decision));
    CHECK(std::get<PlacementWait>(full.decision).cause == WaitCause::DecodeSlot);
    CHECK(full.candidates[1].obstacle == PlacementObstacle::Slots);
    harness.send(ReplicaPaused { ReplicaId { 2 }, harness.now + 2s, harness.now + 2s });
    const auto paused = explain();
    REQUIRE(std::holds_alternative<PlacementWait>(paused.decision));
    CHECK(std::get<PlacementWait>(paused.decision).cause == WaitCause::Pauses);
    CHECK(std::get<PlacementWait>(paused.decision).expected == 2s);
}
