#pragma once

/// A link of limited rate whose concurrent KV transfers share it evenly.

#include "EventQueue.h"

#include <cstdint>
#include <functional>
#include <map>

namespace jayhold::bench {

class SharedLink {
public:
    using TransferId = std::uint64_t;

    SharedLink(EventQueue& events, double bytesPerSecond);

    /// @param done runs when all bytes have arrived.
    auto start(double bytes, std::function<void()> done) -> TransferId;
    /// Ends a transfer without calling it done; unknown transfers are ignored.
    auto cancel(TransferId transfer) -> void;
    /// The transfer makes no more progress and takes no share of the rate.
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
