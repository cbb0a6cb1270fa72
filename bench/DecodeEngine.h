#pragma once

/// A fake decode engine with a limited number of slots and memory blocks. Each step generates one token
/// for every request of the batch; the step duration grows with the batch size.

#include "EngineJob.h"
#include "EngineParameters.h"
#include "EventQueue.h"

#include <functional>
#include <vector>

namespace jayhold::bench {

class DecodeEngine {
public:
    struct Callbacks {
        /// @param generated number of tokens that this attempt has generated so far.
        std::function<void(const EngineJob&, std::uint32_t generated)> token;
        /// The job lost its slot because memory for the next token of a request is not available.
        std::function<void(const EngineJob&)> preempted;
        /// The job has crashed the engine process.
        std::function<void()> crashed;
    };

    DecodeEngine(EventQueue& events, const EngineParameters& parameters, Callbacks callbacks);

    /// Reserves a slot and the memory for the prompt.
    /// @return false if either is not available. The request did not run.
    auto submit(const EngineJob& job) -> bool;
    /// Adds the job to the batch from the next step on, once its KV cache has been transferred.
    auto addToBatch(RequestId request, Attempt attempt) -> void;
    /// Releases the slot and the memory of the request.
    auto cancel(RequestId request) -> void;
    auto cancel(RequestId request, Attempt attempt) -> void;
    auto holds(RequestId request, Attempt attempt) const -> bool;
    /// Ends the engine process.
    /// @return the lost jobs.
    auto terminate() -> std::vector<EngineJob>;

    auto running() const -> std::uint32_t { return static_cast<std::uint32_t>(m_items.size()); }
    auto usedMemoryBlocks() const -> std::uint32_t { return m_usedMemoryBlocks; }
    auto held(std::size_t instance) const -> std::vector<RequestId>;

private:
    struct Item {
        EngineJob job;
        bool decoding = false;
        /// Whether the job was in the batch when the current step began.
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
    /// Incremented when the engine process ends, so that steps of an earlier process are ignored.
    std::uint64_t m_generation = 0;
};

}
