#pragma once

/// A model of a decode engine's memory, for the slots that requests reserve there.

#include "SlotMemory.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

namespace jayhold::test {

/// The engines and requests of a deployment, in tokens.
struct EngineSize {
    std::uint64_t capacity;
    std::uint64_t meanPrompt;
    std::uint64_t longestPrompt;
    std::uint64_t longAnswer;
};

/// An engine in which each running answer grows by one token in a step. Its requests come from instances that know
/// nothing of each other: the oldest asks for a slot until it gets one, and starts when its prefill has ended.
class EngineModel {
public:
    EngineModel(const EngineSize& size, unsigned seed)
        : m_size(size)
        , m_random(seed)
    {
    }

    /// Adds requests that all arrive now.
    auto addBurst(int count) -> void
    {
        std::uniform_int_distribution<std::uint64_t> prompt(m_size.meanPrompt / 2, m_size.meanPrompt * 3 / 2);
        std::uniform_int_distribution<std::uint64_t> answer(m_size.longAnswer / 10, m_size.longAnswer);
        for (auto request = 0; request < count; ++request) {
            m_waiting.push_back({ prompt(m_random), 0, answer(m_random) });
            promptTokens += m_waiting.back().used;
            const auto& [used, generated, length] = m_waiting.back();
            tokenSteps += used * length + length * length / 2;
        }
    }

    /// @return whether anything is left to do.
    auto step() -> bool
    {
        ++steps;
        start();
        reserve();
        for (auto& answer : m_running) {
            ++answer.used;
            ++answer.generated;
        }
        std::erase_if(m_running, [](const Answer& answer) { return answer.generated >= answer.length; });
        while (used() + reserved() > m_size.capacity && !m_running.empty())
            preemptNewest();
        return !m_waiting.empty() || !m_slots.empty() || !m_running.empty();
    }

    std::uint64_t steps = 0;
    /// Prompt tokens of all requests, and those that were read again after a preemption.
    std::uint64_t promptTokens = 0;
    std::uint64_t repeatedTokens = 0;
    /// Memory that the answers take, summed over the steps.
    std::uint64_t tokenSteps = 0;

private:
    struct Answer {
        std::uint64_t used;
        std::uint64_t generated;
        std::uint64_t length;
    };
    struct Slot {
        std::uint64_t tokens;
        std::uint64_t startsAt;
        Answer answer;
    };

    /// Steps between the reservation of a slot and the first token.
    static constexpr std::uint64_t prefillSteps = 300;
    /// Steps after which a refused request asks again.
    static constexpr std::uint64_t retrySteps = 20;

    auto used() const -> std::uint64_t
    {
        std::uint64_t sum = 0;
        for (const auto& answer : m_running)
            sum += answer.used;
        return sum;
    }

    auto reserved() const -> std::uint64_t
    {
        std::uint64_t sum = 0;
        for (const auto& slot : m_slots)
            sum += slot.tokens;
        return sum;
    }

    auto reserve() -> void
    {
        if (steps % retrySteps != 0 || m_waiting.empty())
            return;
        const auto next = m_waiting.front();
        const auto memory = slotMemory(next.used, m_size.longAnswer, m_size.capacity);
        if (used() + reserved() + memory.freeTokens > m_size.capacity)
            return;
        m_slots.push_back({ memory.reservedTokens, steps + prefillSteps, next });
        m_waiting.erase(m_waiting.begin());
    }

    auto start() -> void
    {
        for (const auto& slot : m_slots) {
            if (slot.startsAt <= steps)
                m_running.push_back(slot.answer);
        }
        std::erase_if(m_slots, [&](const Slot& slot) { return slot.startsAt <= steps; });
    }

    auto preemptNewest() -> void
    {
        repeatedTokens += m_running.back().used;
        m_waiting.insert(m_waiting.begin(), m_running.back());
        m_running.pop_back();
    }

    const EngineSize m_size;
    std::mt19937 m_random;
    std::vector<Answer> m_waiting;
    std::vector<Slot> m_slots;
    std::vector<Answer> m_running;
};

struct BurstResult {
    /// Prompt tokens of all requests, and those that were read again after a preemption.
    std::uint64_t promptTokens = 0;
    std::uint64_t repeatedTokens = 0;
    /// Whether more than half of the memory beside a request was unused while others waited.
    bool isHalfEmpty = false;
};

/// Plays bursts of several times what the engine holds. The answers of a burst start together and grow together.
inline auto playBursts(const EngineSize& size) -> BurstResult
{
    constexpr int requests = 60;
    BurstResult result;
    for (auto seed = 1U; seed <= 5; ++seed) {
        EngineModel engine(size, seed);
        engine.addBurst(requests);
        while (engine.step()) { }
        result.promptTokens += engine.promptTokens;
        result.repeatedTokens += engine.repeatedTokens;
        result.isHalfEmpty = result.isHalfEmpty || engine.steps > 2 * engine.tokenSteps / size.capacity + 2 * size.longAnswer;
    }
    return result;
}

/// docs/design.md, section 3: wasted prefill without faults.
constexpr double maxRepeatedShare = 0.005;

}
