#include "LostOwners.h"

namespace jayhold {

auto LostOwners::markLost(std::string_view instance) -> void
{
    const std::lock_guard guard(m_lock);
    m_lost.emplace(instance);
}

auto LostOwners::isLost(std::string_view instance, bool isMember, TimePoint now) -> bool
{
    const std::lock_guard guard(m_lock);
    if (isMember) {
        if (const auto lost = m_lost.find(instance); lost != m_lost.end())
            m_lost.erase(lost);
        if (const auto unknown = m_nonMemberSince.find(instance); unknown != m_nonMemberSince.end())
            m_nonMemberSince.erase(unknown);
        return false;
    }
    if (m_lost.contains(instance))
        return true;
    const auto since = m_nonMemberSince.try_emplace(std::string(instance), now).first->second;
    return now - since >= unknownOwnerTimeout;
}

}
