#include "EngineMemory.h"

namespace jayhold::standin {

auto EngineMemory::hold(std::string requestId, std::string owner, std::int64_t pieces) -> std::shared_ptr<EngineRun>
{
    if (m_seatsInUse >= m_seats || m_heldPieces + pieces > m_pieces)
        return nullptr;
    auto run = std::make_shared<EngineRun>();
    run->requestId = std::move(requestId);
    run->owner = std::move(owner);
    run->pieces = pieces;
    run->startedAt = monotonicNow();
    ++m_seatsInUse;
    m_heldPieces += pieces;
    m_runs.push_back(run);
    return run;
}

auto EngineMemory::releaseSeat(EngineRun& run) -> void
{
    if (run.holdsSeat)
        --m_seatsInUse;
    run.holdsSeat = false;
}

auto EngineMemory::release(EngineRun& run) -> std::int64_t
{
    releaseSeat(run);
    if (!run.holdsPieces)
        return 0;
    run.holdsPieces = false;
    m_heldPieces -= run.pieces;
    const auto pieces = run.pieces;
    m_runs.remove_if([&](const auto& item) { return item.get() == &run; });
    return pieces;
}

auto EngineMemory::cancel(EngineRun& run) -> std::int64_t
{
    run.isCancelled = true;
    const auto wake = run.interrupt;
    const auto pieces = release(run);
    if (wake)
        wake();
    return pieces;
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
