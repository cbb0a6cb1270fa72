#include "StoreDirectory.h"

#include <utility>

namespace jayhold {

auto StoreDirectory::replaceBlockedParts(const ItemList& list) -> void
{
    auto removed = std::exchange(m_blockedPartsServices, {});
    for (const auto& item : list.items) {
        removed.erase(item.name);
        m_blockedPartsServices.insert(item.name);
        updateBlockedParts(item.name, item.value);
    }
    for (const auto& service : removed)
        updateBlockedParts(service, nullptr);
}

auto StoreDirectory::updateBlockedParts(const std::string& service, const boost::json::value& value) -> void
{
    auto stored = blockedPartsFromJson(value);
    logUnreadable(m_format.blockedPartsKind, stored.unreadable);
    m_callbacks.blockedParts(service, std::move(stored.parts));
}

}
