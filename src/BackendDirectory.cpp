#include "BackendDirectory.h"

#include <set>

namespace jayhold {

namespace {

auto markRemoved(BackendDirectory::Entry& entry, TimePoint now) -> void
{
    entry.isMissing = false;
    entry.removedAt = now;
    entry.server.state = ReplicaState::Leaving;
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

auto replaceAll(BackendDirectory& directory, TimePoint now, std::vector<BackendServer> servers) -> void
{
    std::set<std::string, std::less<>> present;
    for (auto& server : servers) {
        present.insert(server.id);
        upsert(directory, std::move(server));
    }
    for (const auto& [id, entry] : directory.entries) {
        if (!present.contains(id))
            remove(directory, now, id);
    }
}

auto upsert(BackendDirectory& directory, BackendServer server) -> void
{
    auto& entry = directory.entries[server.id];
    entry = { .server = std::move(server) };
}

auto remove(BackendDirectory& directory, TimePoint now, std::string_view id) -> void
{
    const auto found = directory.entries.find(id);
    if (found == directory.entries.end() || found->second.removedAt)
        return;
    if (now < directory.reregistrationDeadline)
        found->second.isMissing = true;
    else
        markRemoved(found->second, now);
}

auto expire(BackendDirectory& directory, TimePoint now) -> bool
{
    auto hasChanged = false;
    for (auto& [id, entry] : directory.entries) {
        if (!entry.isMissing || now < directory.reregistrationDeadline)
            continue;
        markRemoved(entry, now);
        hasChanged = true;
    }
    const auto erased = std::erase_if(directory.entries, [&](const auto& item) {
        return item.second.removedAt && now - *item.second.removedAt >= directory.settings.lingerTime;
    });
    return hasChanged || erased > 0;
}

auto servers(const BackendDirectory& directory) -> std::vector<BackendServer>
{
    std::vector<BackendServer> list;
    for (const auto& [id, entry] : directory.entries)
        list.push_back(entry.server);
    return list;
}

}
