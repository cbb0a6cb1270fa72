#include "SharedLink.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

namespace jayhold::bench {

namespace {

/// Remaining bytes below this value are rounding errors of the rate shares.
constexpr double negligibleBytes = 1;

}

SharedLink::SharedLink(EventQueue& events, double bytesPerSecond)
    : m_events(events)
    , m_bytesPerSecond(bytesPerSecond)
{
}

auto SharedLink::start(double bytes, std::function<void()> done) -> TransferId
{
    advance();
    const auto id = m_nextId++;
    m_transfers.emplace(id, Transfer { bytes, false, std::move(done) });
    scheduleNext();
    return id;
}

auto SharedLink::cancel(TransferId transfer) -> void
{
    advance();
    m_transfers.erase(transfer);
    scheduleNext();
}

auto SharedLink::stall(TransferId transfer) -> void
{
    advance();
    if (const auto found = m_transfers.find(transfer); found != m_transfers.end())
        found->second.stalled = true;
    scheduleNext();
}

auto SharedLink::bytesPerTransfer() const -> double
{
    const auto moving = std::ranges::count_if(m_transfers, [](const auto& item) { return !item.second.stalled; });
    return moving ? m_bytesPerSecond / static_cast<double>(moving) : 0;
}

auto SharedLink::advance() -> void
{
    const auto moved = bytesPerTransfer() * toSeconds(m_events.now() - m_advancedTo);
    for (auto& [id, transfer] : m_transfers) {
        if (!transfer.stalled)
            transfer.remainingBytes -= moved;
    }
    m_advancedTo = m_events.now();
}

auto SharedLink::scheduleNext() -> void
{
    const auto generation = ++m_generation;
    auto least = std::numeric_limits<double>::infinity();
    for (const auto& [id, transfer] : m_transfers) {
        if (!transfer.stalled)
            least = std::min(least, transfer.remainingBytes);
    }
    if (std::isinf(least))
        return;
    const auto wait = fromSeconds(std::max(0.0, least) / bytesPerTransfer()) + Duration(1);
    m_events.after(wait, [this, generation] {
        if (generation == m_generation)
            finishReady();
    });
}

auto SharedLink::finishReady() -> void
{
    advance();
    std::vector<std::function<void()>> finished;
    std::erase_if(m_transfers, [&](auto& item) {
        const bool ready = !item.second.stalled && item.second.remainingBytes < negligibleBytes;
        if (ready)
            finished.push_back(std::move(item.second.done));
        return ready;
    });
    scheduleNext();
    for (const auto& done : finished)
        done();
}

}
