#include "EngineMemory.h"

namespace jayhold::standin {

auto EngineMemory::reserve(std::string requestId, std::string owner, std::int64_t memoryBlocks) -> std::shared_ptr<EngineRun>
{
    if (m_slotsInUse >= m_slots || m_heldMemoryBlocks + memoryBlocks > m_memoryBlocks)
        return nullptr;
    auto run = std::make_shared<EngineRun>();
    run->requestId = std::move(requestId);
    run->owner = std::move(owner);
    run->memoryBlocks = memoryBlocks;
    run->startedAt = monotonicNow();
    ++m_slotsInUse;
    m_heldMemoryBlocks += memoryBlocks;
    m_runs.push_back(run);
    return run;
}

auto EngineMemory::releaseSlot(EngineRun& run) -> void
{
    if (run.holdsSlot)
        --m_slotsInUse;
    run.holdsSlot = false;
}

auto EngineMemory::release(EngineRun& run) -> std::int64_t
{
    releaseSlot(run);
    if (!run.holdsMemoryBlocks)
        return 0;
    run.holdsMemoryBlocks = false;
    m_heldMemoryBlocks -= run.memoryBlocks;
    const auto memoryBlocks = run.memoryBlocks;
    m_runs.remove_if([&](const auto& item) { return item.get() == &run; });
    return memoryBlocks;
}

auto EngineMemory::cancel(EngineRun& run) -> std::int64_t
{
    run.isCancelled = true;
    const auto wake = run.interrupt;
    const auto memoryBlocks = release(run);
    if (wake)
        wake();
    return memoryBlocks;
}

auto EngineMemory::runsOf(const std::string& requestId) const -> std::vector<std::shared_ptr<EngineRun>>
{
    std::vector<std::shared_ptr<EngineRun>> result;
    for (const auto& run : m_runs) {
        if (run->requestId == requestId)
            result.push_back(run);
    }
    return result;
}

}
