#include "BackendDirectory.h"

#include "ParseNumber.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace jayhold {

namespace {

auto markRemoved(const BackendDirectory& directory, BackendDirectory::Entry& entry, TimePoint now) -> void
{
    entry.isPresumedGone = std::exchange(entry.isMissing, false);
    entry.history = directory.history.value_or(0);
    entry.removedAt = now;
    entry.hasReportedLeaving = entry.server.state == ReplicaState::Leaving;
    entry.server.state = ReplicaState::Leaving;
}

auto hasReportedLeaving(const BackendDirectory::Entry& entry) -> bool
{
    return entry.removedAt ? entry.hasReportedLeaving : entry.server.state == ReplicaState::Leaving;
}

/// @return the start time in an incarnation. Incarnations without one have no order.
auto startTimeOf(std::string_view incarnation) -> std::optional<std::int64_t>
{
    return parseNumber<std::int64_t>(incarnation.substr(0, incarnation.find('/')));
}

auto isEarlier(std::string_view incarnation, std::string_view other) -> bool
{
    const auto start = startTimeOf(incarnation);
    const auto otherStart = startTimeOf(other);
    return start && otherStart && *start < *otherStart;
}

/// @return for each address the server there that started last. Servers without a start time come first.
auto latestByAddress(const BackendDirectory& directory) -> std::map<HttpEndpoint, const BackendServer*>
{
    std::map<HttpEndpoint, const BackendServer*> latest;
    for (const auto& [id, entry] : directory.entries) {
        const auto& server = entry.server;
        const auto [found, isFirst] = latest.emplace(server.endpoint, &server);
        if (!isFirst && (isEarlier(found->second->incarnation, server.incarnation) || !startTimeOf(found->second->incarnation)))
            found->second = &server;
    }
    return latest;
}

/// @return whether the store was restored since it showed the known state. In one history, its later entry is the newer
/// one.
auto isRestored(const BackendDirectory& directory, const BackendDirectory::Entry& known) -> bool
{
    return known.history < directory.history.value_or(0);
}

/// @return whether an entry shows the known incarnation as it was before it left.
auto showsEarlierState(const BackendDirectory::Entry& known, const BackendServer& server) -> bool
{
    const auto isKnownGone = known.server.state == ReplicaState::Leaving && !known.isPresumedGone;
    return isKnownGone && server.state == ReplicaState::Live && hasSameIncarnation(known.server, server);
}

auto mayReturn(const BackendDirectory::Entry& known, const BackendServer& server) -> bool
{
    return hasSameIncarnation(known.server, server) && !hasReportedLeaving(known);
}

auto isOutdated(const BackendDirectory& directory, const BackendDirectory::Entry& known, const BackendServer& server, EntrySource source) -> bool
{
    if (!isRestored(directory, known))
        return false;
    if (isEarlier(server.incarnation, known.server.incarnation))
        return source == EntrySource::List;
    if (!showsEarlierState(known, server))
        return false;
    const auto isShownToLive = source == EntrySource::Change || known.relisting.hasNotLapsed;
    return !isShownToLive || !mayReturn(known, server);
}

/// Servers without an incarnation can't be told from a later process with the same id, unless the address differs or the
/// entry was removed in between. Without these exceptions their id would never be used again.
auto isSameProcess(const BackendDirectory::Entry& known, const BackendServer& server) -> bool
{
    if (!known.server.incarnation.empty() || !server.incarnation.empty())
        return hasSameIncarnation(known.server, server);
    const auto wasRemoved = known.removedAt && !known.isPresumedGone;
    return known.server.endpoint == server.endpoint && hasSameIncarnation(known.server, server) && !wasRemoved;
}

/// A process writes the same fields each time, and every later one states its start.
/// @return whether the entry lacks what the known process has stated, so that another writer must have left it.
auto isIncomplete(const BackendServer& known, const BackendServer& server) -> bool
{
    if (known.incarnation.empty())
        return false;
    if (server.incarnation.empty())
        return true;
    const auto isSameStart = startTimeOf(known.incarnation) == startTimeOf(server.incarnation);
    return isSameStart && ((server.softwareVersion.empty() && !known.softwareVersion.empty()) || (server.slots == 0 && known.slots > 0));
}

/// Keeps what processes with the server's id have said about leaving when its entry replaces the known one.
auto carryOverLeaving(BackendDirectory::Entry& entry, BackendDirectory::Entry known, const BackendServer& server) -> void
{
    const auto isSame = isSameProcess(known, server);
    if (known.hasSaidLeaving && !isSame && !known.server.incarnation.empty())
        known.leavingIncarnations.insert(known.server.incarnation);
    entry.hasSaidLeaving = isSame ? known.hasSaidLeaving : known.leavingIncarnations.contains(server.incarnation);
    entry.leavingIncarnations = std::move(known.leavingIncarnations);
}

}

auto storeFailed(BackendDirectory& directory, TimePoint now) -> void
{
    if (!directory.unavailableSince)
        directory.unavailableSince = now;
}

auto storeAnswered(BackendDirectory& directory, TimePoint now) -> void
{
    if (!directory.unavailableSince)
        return;
    if (now - *directory.unavailableSince >= directory.settings.minOutage)
        directory.reregistrationDeadline = now + directory.settings.reregistrationTime;
    directory.unavailableSince.reset();
}

auto beginHistory(BackendDirectory& directory, TimePoint now, std::int64_t history) -> void
{
    const auto before = std::exchange(directory.history, std::max(directory.history.value_or(history), history));
    if (!before || *before >= history)
        return;
    directory.reregistrationDeadline = now + directory.settings.reregistrationTime;
    for (auto& [id, entry] : directory.entries)
        entry.relisting = {};
}

auto replaceAll(BackendDirectory& directory, TimePoint now, std::vector<BackendServer> servers) -> std::vector<std::string>
{
    std::set<std::string, std::less<>> present;
    std::vector<std::string> outdated;
    for (auto& server : servers) {
        present.insert(server.id);
        auto id = server.id;
        if (!upsert(directory, std::move(server)))
            outdated.push_back(std::move(id));
    }
    for (const auto& [id, entry] : directory.entries) {
        if (!present.contains(id))
            remove(directory, now, id);
    }
    return outdated;
}

auto upsert(BackendDirectory& directory, BackendServer server, EntrySource source) -> bool
{
    const auto known = directory.entries.find(server.id);
    if (known != directory.entries.end() && isOutdated(directory, known->second, server, source)) {
        auto& relisting = known->second.relisting;
        if (mayReturn(known->second, server))
            relisting.isListed = true;
        else
            relisting = {};
        return false;
    }
    if (known != directory.entries.end() && isIncomplete(known->second.server, server))
        return false;
    BackendDirectory::Entry entry { .history = directory.history.value_or(0) };
    if (known != directory.entries.end())
        carryOverLeaving(entry, std::move(known->second), server);
    if (entry.hasSaidLeaving)
        server.state = ReplicaState::Leaving;
    entry.server = std::move(server);
    directory.entries[entry.server.id] = std::move(entry);
    return true;
}

auto markLeaving(BackendDirectory& directory, const BackendServer& server) -> std::optional<ReplicaState>
{
    const auto found = directory.entries.find(server.id);
    if (found == directory.entries.end() || found->second.hasSaidLeaving || !isSameProcess(found->second, server))
        return std::nullopt;
    found->second.hasSaidLeaving = true;
    return std::exchange(found->second.server.state, ReplicaState::Leaving);
}

auto remove(BackendDirectory& directory, TimePoint now, std::string_view id) -> void
{
    const auto found = directory.entries.find(id);
    if (found == directory.entries.end())
        return;
    found->second.relisting = {};
    if (found->second.removedAt)
        return;
    // A server does not register again after its entry has shown that it is leaving. Before, its entry is written again
    // even if it has said so itself.
    const auto mayRegisterAgain = found->second.server.state == ReplicaState::Live || found->second.hasSaidLeaving;
    if (now < directory.reregistrationDeadline && mayRegisterAgain)
        found->second.isMissing = true;
    else
        markRemoved(directory, found->second, now);
}

auto expire(BackendDirectory& directory, TimePoint now) -> bool
{
    auto hasChanged = false;
    for (auto& [id, entry] : directory.entries) {
        if (!entry.isMissing || now < directory.reregistrationDeadline)
            continue;
        markRemoved(directory, entry, now);
        hasChanged = true;
    }
    for (auto& [id, entry] : directory.entries) {
        const auto isPast = entry.removedAt && now - *entry.removedAt >= directory.settings.lingerTime;
        hasChanged = hasChanged || isPast != entry.isUnlisted;
        entry.isUnlisted = isPast;
    }
    for (auto& [id, entry] : directory.entries) {
        auto& relisting = entry.relisting;
        // The store may remove no entries while it is away.
        if (relisting.isListed && (!relisting.since || directory.unavailableSince))
            relisting.since = now;
        relisting.hasNotLapsed = relisting.since && now - *relisting.since >= directory.settings.lapseTime;
    }
    std::erase_if(directory.entries, [&](const auto& item) {
        return item.second.removedAt && now - *item.second.removedAt >= directory.settings.tombstoneTime;
    });
    return hasChanged;
}

auto hasUnlapsedEntry(const BackendDirectory& directory) -> bool
{
    return std::ranges::any_of(directory.entries, [](const auto& item) { return item.second.relisting.hasNotLapsed; });
}

auto servers(const BackendDirectory& directory) -> std::vector<BackendServer>
{
    const auto latest = latestByAddress(directory);
    std::vector<BackendServer> list;
    for (const auto& [id, entry] : directory.entries) {
        if (entry.isUnlisted)
            continue;
        list.push_back(entry.server);
        if (isEarlier(entry.server.incarnation, latest.at(entry.server.endpoint)->incarnation))
            list.back().state = ReplicaState::Leaving;
    }
    return list;
}

auto successorOf(const BackendDirectory& directory, const BackendServer& server) -> std::optional<std::string>
{
    const auto latest = latestByAddress(directory);
    const auto found = latest.find(server.endpoint);
    if (found == latest.end() || found->second->id == server.id || !isEarlier(server.incarnation, found->second->incarnation))
        return std::nullopt;
    return found->second->id;
}

}
