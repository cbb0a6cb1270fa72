#include "RequestBudget.h"

namespace jayhold {

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
    if (m_heldBytes > 0 && m_heldBytes + first->second > m_limitBytes)
        return false;
    m_heldBytes += first->second;
    m_taken.insert(m_waiting.extract(first));
    return true;
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
