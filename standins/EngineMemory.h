#pragma once

/// The seats and memory pieces of a stand-in engine and the runs that hold them.

#include "EngineRun.h"

#include <list>
#include <memory>
#include <vector>

namespace jayhold::standin {

class EngineMemory {
public:
    EngineMemory(std::int64_t slots, std::int64_t memoryBlocks)
        : m_slots(slots)
        , m_memoryBlocks(memoryBlocks)
    {
    }

    /// @return the run with its seat and pieces, or nothing where either is out.
    auto reserve(std::string requestId, std::string owner, std::int64_t memoryBlocks) -> std::shared_ptr<EngineRun>;

    /// Frees the seat; the pieces stay held.
    auto releaseSlot(EngineRun& run) -> void;
    /// Frees whatever the run still holds.
    /// @return pieces that were freed.
    auto release(EngineRun& run) -> std::int64_t;
    /// Marks a run as cancelled, frees what it holds and wakes it.
    /// @return pieces that were freed.
    auto cancel(EngineRun& run) -> std::int64_t;

    auto runsOf(const std::string& requestId) const -> std::vector<std::shared_ptr<EngineRun>>;
    auto runs() const -> const std::list<std::shared_ptr<EngineRun>>& { return m_runs; }
    auto heldMemoryBlocks() const -> std::int64_t { return m_heldMemoryBlocks; }
    auto slotsInUse() const -> std::int64_t { return m_slotsInUse; }

private:
    const std::int64_t m_slots;
    const std::int64_t m_memoryBlocks;
    std::int64_t m_slotsInUse = 0;
    std::int64_t m_heldMemoryBlocks = 0;
    std::list<std::shared_ptr<EngineRun>> m_runs;
};

}
