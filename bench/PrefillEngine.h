#pragma once

/// A fake prefill engine. Accepts a limited number of prompts, computes them in chunks by priority,
/// stores each result for a limited time, and transfers it to a decode engine over its link.

#include "EngineJob.h"
#include "EngineParameters.h"
#include "EventQueue.h"
#include "PrefixCache.h"
#include "SharedLink.h"

#include <functional>
#include <vector>

namespace jayhold::bench {

class PrefillEngine {
public:
    struct Callbacks {
        std::function<void(const EngineJob&, std::uint32_t cachedTokens, TimePoint expiresAt)> done;
        /// Reports computed tokens, from which the wasted prefill is determined.
        std::function<void(const EngineJob&, std::uint32_t tokens)> computed;
        /// The result was discarded because it was not fetched before it expired.
        std::function<void(const EngineJob&)> expired;
    };

    PrefillEngine(EventQueue& events, const EngineParameters& parameters, Callbacks callbacks);

    /// @return false if no slot or not enough memory is free. The prompt did not run.
    auto submit(const EngineJob& job) -> bool;
    /// Discards the computation or the result of the request.
    auto cancel(RequestId request) -> void;
    /// Protects the result from expiring until release(), for the duration of a transfer.
    /// @return false if the result does not exist, for example because it has expired.
    auto pin(RequestId request, Attempt attempt) -> bool;
    auto release(RequestId request, Attempt attempt) -> void;
    /// Ends the engine process and discards all jobs, results and the cache.
    /// @return the jobs whose computation had not finished.
    auto terminate() -> std::vector<EngineJob>;

    auto running() const -> std::uint32_t;
    auto usedMemoryBlocks() const -> std::uint32_t { return m_usedMemoryBlocks; }
    auto held(std::size_t instance) const -> std::vector<RequestId>;
    auto cache() -> PrefixCache& { return m_cache; }
    auto link() -> SharedLink& { return m_link; }

private:
    enum class Stage {
        Computing,
        Completed,
        Pinned,
    };
    struct Item {
        EngineJob job;
        Stage stage = Stage::Computing;
        bool started = false;
        std::uint32_t memoryBlocks = 0;
        std::uint32_t cachedTokens = 0;
        std::uint32_t remainingTokens = 0;
        std::uint64_t order = 0;
    };

    auto find(RequestId request, Attempt attempt) -> Item*;
    auto mostUrgent() -> Item*;
    auto lookUpPrefix(Item& item) -> void;
    auto computeNext() -> void;
    auto handleChunkComputed(RequestId request, Attempt attempt, std::uint32_t tokens) -> void;
    auto completePrefill(Item& item) -> void;
    auto erase(RequestId request, Attempt attempt) -> void;

    EventQueue& m_events;
    const EngineParameters& m_parameters;
    Callbacks m_callbacks;
    PrefixCache m_cache;
    SharedLink m_link;
    std::vector<Item> m_items;
    bool m_computing = false;
    std::uint32_t m_usedMemoryBlocks = 0;
    std::uint64_t m_nextOrder = 0;
    /// Incremented when the engine process ends, so that callbacks of an earlier process are ignored.
    std::uint64_t m_generation = 0;
};

}
