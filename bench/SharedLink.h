#pragma once

/// A link with a limited rate, which concurrent KV cache transfers share equally.

#include "EventQueue.h"

#include <cstdint>
#include <functional>
#include <map>

namespace jayhold::bench {

class SharedLink {
public:
    using TransferId = std::uint64_t;

    SharedLink(EventQueue& events, double bytesPerSecond);

    /// @param done called when all bytes have been transferred.
    auto start(double bytes, std::function<void()> done) -> TransferId;
    /// Removes a transfer without calling its callback. Unknown transfers are ignored.
    auto cancel(TransferId transfer) -> void;
    /// Stops the progress of the transfer, which then consumes no share of the rate.
    auto stall(TransferId transfer) -> void;
    auto transfers() const -> std::size_t { return m_transfers.size(); }

private:
    struct Transfer {
        double remainingBytes;
        bool stalled;
        std::function<void()> done;
    };

    auto bytesPerTransfer() const -> double;
    auto advance() -> void;
    auto scheduleNext() -> void;
    auto finishReady() -> void;

    EventQueue& m_events;
    double m_bytesPerSecond;
    TransferId m_nextId = 1;
    std::uint64_t m_generation = 0;
    TimePoint m_advancedTo {};
    std::map<TransferId, Transfer> m_transfers;
};

}
