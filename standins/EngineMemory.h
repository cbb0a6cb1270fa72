#pragma once

/// The slots and memory blocks of a stand-in engine and the runs that hold them.

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

    /// @return a run with a slot and its memory blocks, or nullptr if there are not enough of either.
    auto reserve(std::string requestId, std::string owner, std::int64_t memoryBlocks) -> std::shared_ptr<EngineRun>;

    /// Releases the slot; the memory blocks stay reserved.
    auto releaseSlot(EngineRun& run) -> void;
    /// Releases the slot and memory blocks that the run still holds.
    /// @return memory blocks freed.
    auto release(EngineRun& run) -> std::int64_t;
    /// Marks a run as cancelled, releases its slot and memory blocks and wakes it.
    /// @return memory blocks freed.
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
