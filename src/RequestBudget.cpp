#include "RequestBudget.h"

namespace jayhold {

namespace {

/// @return what a head takes of the reserve for small ones.
auto smallPart(std::size_t bytes) -> std::size_t
{
    return bytes <= RequestBudget::maxSmallHeadBytes ? bytes : 0;
}

}

auto RequestBudget::add(std::size_t bytes) -> BodyId
{
    const std::lock_guard guard(m_lock);
    m_waiting.emplace(++m_lastId, bytes);
    return m_lastId;
}

auto RequestBudget::tryTake(BodyId id) -> bool
{
    const std::lock_guard guard(m_lock);
    if (m_taken.contains(id))
        return true;
    const auto first = m_waiting.begin();
    if (first == m_waiting.end() || first->first != id)
        return false;
    if (m_heldBytes > 0 && m_heldBytes + excessHeadBytesLocked() + first->second > m_limitBytes)
        return false;
    m_heldBytes += first->second;
    m_taken.insert(m_waiting.extract(first));
    return true;
}

auto RequestBudget::resizeHead(std::size_t from, std::size_t to) -> bool
{
    const std::lock_guard guard(m_lock);
    if (to > from && !fitsLocked(from, to))
        return false;
    m_headBytes += to - from;
    m_smallHeadBytes += smallPart(to) - smallPart(from);
    return true;
}

auto RequestBudget::hasRoomForHead(std::size_t bytes) const -> bool
{
    const std::lock_guard guard(m_lock);
    return fitsLocked(0, bytes);
}

auto RequestBudget::fitsLocked(std::size_t from, std::size_t to) const -> bool
{
    const auto heads = m_headBytes - from + to;
    // One request within the limits is served whatever its size, if nothing else is held.
    if (heads == to && m_heldBytes == 0)
        return true;
    if (to > maxSmallHeadBytes)
        return m_heldBytes + heads <= m_limitBytes;
    return m_smallHeadBytes - smallPart(from) + to <= m_reserveBytes || m_heldBytes + heads <= m_limitBytes + m_reserveBytes;
}

auto RequestBudget::excessHeadBytesLocked() const -> std::size_t
{
    return m_headBytes > m_reserveBytes ? m_headBytes - m_reserveBytes : 0;
}

auto RequestBudget::shrink(BodyId id, std::size_t bytes) -> void
{
    const std::lock_guard guard(m_lock);
    const auto found = m_taken.find(id);
    if (found == m_taken.end() || found->second <= bytes)
        return;
    m_heldBytes -= found->second - bytes;
    found->second = bytes;
}

auto RequestBudget::remove(BodyId id) -> void
{
    const std::lock_guard guard(m_lock);
    m_waiting.erase(id);
    if (const auto taken = m_taken.extract(id))
        m_heldBytes -= taken.mapped();
}

}
