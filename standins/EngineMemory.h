#pragma once

/// The seats and memory pieces of a stand-in engine and the runs that hold them.

#include "EngineRun.h"

#include <list>
#include <memory>
#include <vector>

namespace jayhold::standin {

class EngineMemory {
public:
    EngineMemory(std::int64_t seats, std::int64_t pieces)
        : m_seats(seats)
        , m_pieces(pieces)
    {
    }

    /// @return the run with its seat and pieces, or nothing where either is out.
    auto hold(std::string requestId, std::string owner, std::int64_t pieces) -> std::shared_ptr<EngineRun>;

    /// Frees the seat; the pieces stay held.
    auto releaseSeat(EngineRun& run) -> void;
    /// Frees whatever the run still holds.
    /// @return pieces that were freed.
    auto release(EngineRun& run) -> std::int64_t;
    /// Marks a run as cancelled, frees what it holds and wakes it.
    /// @return pieces that were freed.
    auto cancel(EngineRun& run) -> std::int64_t;

    auto runsOf(const std::string& requestId) const -> std::vector<std::shared_ptr<EngineRun>>;
    auto runs() const -> const std::list<std::shared_ptr<EngineRun>>& { return m_runs; }
    auto heldPieces() const -> std::int64_t { return m_heldPieces; }
    auto seatsInUse() const -> std::int64_t { return m_seatsInUse; }

private:
    const std::int64_t m_seats;
    const std::int64_t m_pieces;
    std::int64_t m_seatsInUse = 0;
    std::int64_t m_heldPieces = 0;
    std::list<std::shared_ptr<EngineRun>> m_runs;
};

}
