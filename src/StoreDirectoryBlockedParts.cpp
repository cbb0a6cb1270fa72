#include "StoreDirectory.h"

#include "Pause.h"

#include <algorithm>
#include <utility>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Limits the time for which parts stay blocked that the store does not list, if they can't be written again.
constexpr Duration maxKeptPartsTime = std::chrono::seconds(30);
/// Interval at which an instance that starts checks whether it knows what is blocked.
constexpr Duration blockedPartsCheckInterval = std::chrono::milliseconds(2);

}

auto StoreDirectory::awaitBlockedParts() -> asio::awaitable<void>
{
    // A list that can't be read must not keep the instance from serving.
    while (!m_format.blockedPartsKind.empty() && !m_hasBlockedParts && monotonicNow() < m_startedAt + m_settings.maxPropagationDelay)
        co_await pause(blockedPartsCheckInterval);
}

auto StoreDirectory::replaceBlockedParts(const ItemList& list) -> void
{
    auto removed = std::exchange(m_blockedPartsServices, {});
    // The parts of a service whose object can't be read stay blocked.
    for (const auto& name : list.unreadableNames) {
        if (removed.erase(name) > 0)
            m_blockedPartsServices.insert(name);
    }
    for (const auto& item : list.items) {
        removed.erase(item.name);
        m_blockedPartsServices.insert(item.name);
        updateBlockedParts(item.name, item.value);
    }
    for (const auto& service : removed)
        updateBlockedParts(service, nullptr);
    m_hasBlockedParts = true;
}

auto StoreDirectory::updateBlockedParts(const std::string& service, const boost::json::value& value) -> void
{
    auto stored = blockedPartsFromJson(value);
    logUnreadable(m_format.blockedPartsKind, stored.unreadable, std::span(&service, stored.unreadable > 0 ? 1 : 0));
    auto parts = withKeptParts(service, std::move(stored.parts));
    m_blockedParts[service] = parts;
    m_callbacks.blockedParts(service, std::move(parts));
}

auto StoreDirectory::keepBlockedParts() -> void
{
    m_keptParts = m_blockedParts;
    m_keptPartsExpireAt = monotonicNow() + maxKeptPartsTime;
    for (const auto& [service, parts] : m_keptParts) {
        m_blockedPartsServices.insert(service);
        if (!parts.empty())
            m_callbacks.lostBlockedParts(service, parts);
    }
}

auto StoreDirectory::withKeptParts(const std::string& service, std::vector<ListedPart> listed) -> std::vector<ListedPart>
{
    const auto kept = m_keptParts.find(service);
    if (kept == m_keptParts.end() || monotonicNow() >= m_keptPartsExpireAt)
        return listed;
    // Parts that the store lists are its own again, so that they can be removed.
    std::erase_if(kept->second, [&](const ListedPart& part) {
        const auto found = std::ranges::find(listed, part.part, &ListedPart::part);
        return found != listed.end() && found->trials >= part.trials;
    });
    return mergeBlockedParts(std::move(listed), kept->second);
}

}
