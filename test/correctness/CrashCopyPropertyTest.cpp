#include "ShardHarness.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace jayhold;
using namespace jayhold::test;

namespace {

constexpr std::uint64_t sharedSignature = 55;
constexpr std::uint32_t firstDecode = 100;
constexpr std::uint32_t decodeEngines = 6;
constexpr std::uint32_t slots = 20;
constexpr std::uint64_t firstCopies = 2;
constexpr std::uint64_t laterCopies = 6;
constexpr std::uint64_t copies = firstCopies + laterCopies;
constexpr std::uint64_t others = 12;
constexpr Duration length = 6s;
constexpr std::uint32_t answerTokens = 30;

/// An instance that gets copies of a request that crashes every engine which decodes it, beside other requests.
/// Calls take random times, so that the copies meet a crashed engine in any state and in any order.
class CopiesAtRandomTimes {
public:
    CopiesAtRandomTimes(std::uint32_t instanceCount, std::uint32_t seed)
        : m_harness([&] {
            auto settings = testSettings();
            settings.instanceCount = instanceCount;
            return settings;
        }())
        , m_random(seed)
    {
        for (std::uint32_t id = 1; id <= others; ++id)
            m_harness.replica(id, PoolRole::Prefill, slots);
        for (std::uint32_t id = firstDecode; id < firstDecode + decodeEngines; ++id)
            m_harness.replica(id, PoolRole::Decode, slots);
        for (std::uint64_t id = 1; id <= firstCopies; ++id)
            at(time(100), [this, id] { send(arrival(id)); });
        for (std::uint64_t id = copies + 1; id <= copies + others; ++id)
            at(time(600), [this, id] { send(arrival(id)); });
    }

    auto run() -> void
    {
        const auto end = m_harness.now + length;
        while (m_harness.now < end) {
            auto next = m_events.empty() ? end : m_events.begin()->first;
            if (m_wakeAt > m_harness.now)
                next = std::min(next, m_wakeAt);
            m_harness.now = next;
            if (m_events.empty() || m_events.begin()->first > next) {
                send(Tick {});
                continue;
            }
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
    }

    std::size_t crashes = 0;
    std::size_t answered = 0;

private:
    struct Attempt {
        StartDecode start;
        bool isConnected = false;
        std::uint32_t tokens = 0;
    };

    static auto isCopy(RequestId id) -> bool { return static_cast<std::uint64_t>(id) <= copies; }
    auto time(int most) -> Duration { return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, most)(m_random)); }
    auto at(Duration delay, std::function<void()> event) -> void { m_events.emplace(m_harness.now + delay, std::move(event)); }

    auto arrival(std::uint64_t id) const -> RequestArrived
    {
        return {
            .request = RequestId { id },
            .kind = KindId { 0 },
            .customer = CustomerId { 0 },
            .promptTokens = 1'000,
            .maxTokens = 200,
            .deadline = m_harness.now + 60s,
            .prefixBlocks = {},
            .signature = isCopy(RequestId { id }) ? sharedSignature : id + sharedSignature,
        };
    }

    auto send(const DecisionEvent& event) -> void
    {
        m_harness.send(event);
        const auto actions = m_harness.actions;
        m_harness.all.clear();
        for (const auto& action : actions) {
            if (const auto* prefill = std::get_if<StartPrefill>(&action))
                at(5ms + time(60), [this, start = *prefill] { send(PrefillDone { start.request, start.attempt, m_harness.now + 800ms, 0 }); });
            else if (const auto* decode = std::get_if<StartDecode>(&action))
                at(1ms + time(30), [this, start = *decode] { connect(start); });
            else if (const auto* refusal = std::get_if<Refuse>(&action))
                m_attempts.erase(refusal->request);
            else if (const auto* wake = std::get_if<WakeAt>(&action))
                m_wakeAt = wake->time;
        }
    }

    auto connect(const StartDecode& start) -> void
    {
        if (m_crashed.contains(start.decode)) {
            at(time(5), [this, start] { send(DecodeFailed { start.request, start.attempt, FailureKind::NotConnected, 0 }); });
            return;
        }
        m_attempts[start.request] = { start };
        if (isCopy(start.request))
            at(1ms + time(15), [this, start] { crash(start); });
        else
            at(10ms, [this, start] { emit(start); });
    }

    auto crash(const StartDecode& start) -> void
    {
        const auto running = m_attempts.find(start.request);
        if (running == m_attempts.end() || running->second.start.attempt != start.attempt)
            return;
        m_crashed.insert(start.decode);
        if (++crashes == 1) {
            for (std::uint64_t id = firstCopies + 1; id <= copies; ++id)
                at(20ms + time(300), [this, id] { send(arrival(id)); });
        }
        for (const auto& [id, attempt] : m_attempts) {
            if (attempt.start.decode == start.decode)
                at(time(10), [this, lost = attempt] { send(DecodeFailed { lost.start.request, lost.start.attempt, FailureKind::ConnectionLost, lost.tokens }); });
        }
        std::erase_if(m_attempts, [&](const auto& attempt) { return attempt.second.start.decode == start.decode; });
    }

    auto emit(const StartDecode& start) -> void
    {
        const auto running = m_attempts.find(start.request);
        if (running == m_attempts.end() || running->second.start.attempt != start.attempt)
            return;
        auto& tokens = m_tokens[start.request];
        running->second.tokens = ++tokens;
        if (tokens < answerTokens) {
            at(10ms, [this, start] { emit(start); });
            send(TokensEmitted { start.request, start.attempt, tokens });
            return;
        }
        m_attempts.erase(running);
        ++answered;
        send(DecodeFinished { start.request, start.attempt, tokens });
    }

    ShardHarness m_harness;
    std::minstd_rand m_random;
    TimePoint m_wakeAt = TimePoint::min();
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<RequestId, Attempt> m_attempts;
    std::map<RequestId, std::uint32_t> m_tokens;
    /// They stay in the instance list, which lags.
    std::set<ReplicaId> m_crashed;
};

}

// Guards against copies of a crashing request that start beside each other after the first crash, in any order of the
// failures that they meet.
TEST_CASE("copies of a crashing request crash two engines and no more")
{
    rc::prop("whenever they arrive", [](std::uint32_t seed) {
        CopiesAtRandomTimes instance(1 + seed % 2, seed);
        instance.run();
        RC_ASSERT(instance.crashes == 2U);
        RC_ASSERT(instance.answered == others);
    });
}
