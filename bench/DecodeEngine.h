#pragma once

/// A fake decode engine: holds seats and memory pieces, generates one token for each request of its
/// batch per step, and takes longer for a step the larger the batch.

#include "EngineJob.h"
#include "EngineParameters.h"
#include "EventQueue.h"

#include <functional>
#include <vector>

namespace jayhold::bench {

class DecodeEngine {
public:
    struct Callbacks {
        /// @param generated tokens of this attempt so far.
        std::function<void(const EngineJob&, std::uint32_t generated)> token;
        /// The job lost its seat because no memory is left for its next token.
        std::function<void(const EngineJob&)> preempted;
        /// The engine process has died of the job.
        std::function<void()> crashed;
    };

    DecodeEngine(EventQueue& events, const EngineParameters& parameters, Callbacks callbacks);

    /// Reserves a seat and the memory of the prompt.
    /// @return false if either is lacking; the request did not run.
    auto submit(const EngineJob& job) -> bool;
    /// The KV cache has arrived; the job joins the batch at the next step.
    auto addToBatch(RequestId request, Attempt attempt) -> void;
    /// Frees whatever the engine holds for the request.
    auto cancel(RequestId request) -> void;
    auto cancel(RequestId request, Attempt attempt) -> void;
    auto holds(RequestId request, Attempt attempt) const -> bool;
    /// @return the jobs that were lost.
    auto terminate() -> std::vector<EngineJob>;

    auto running() const -> std::uint32_t { return static_cast<std::uint32_t>(m_items.size()); }
    auto usedMemoryBlocks() const -> std::uint32_t { return m_usedMemoryBlocks; }
    auto held(std::size_t instance) const -> std::vector<RequestId>;

private:
    struct Item {
        EngineJob job;
        bool decoding = false;
        /// Whether it was in the batch when the present step began.
        bool inStep = false;
        std::uint32_t generated = 0;
        std::uint32_t memoryBlocks = 0;
    };

    auto startStep() -> void;
    auto finishStep() -> void;
    auto reserveNextToken() -> void;
    auto preemptNewest() -> void;

    EventQueue& m_events;
    const EngineParameters& m_parameters;
    Callbacks m_callbacks;
    /// In order of arrival.
    std::vector<Item> m_items;
    bool m_stepping = false;
    std::uint32_t m_usedMemoryBlocks = 0;
    /// Counts the lives of the engine, so that steps of an earlier life are ignored.
    std::uint64_t m_generation = 0;
};

}
