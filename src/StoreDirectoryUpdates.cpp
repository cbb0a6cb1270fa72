#include "Pause.h"
#include "StoreDirectory.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// A change that a peer tells of comes with the news of the zone, or by the own watch, about as soon;
/// both take less than this beside a slow store.
constexpr Duration newsGrace = std::chrono::milliseconds(150);
constexpr Duration dutyInterval = std::chrono::milliseconds(100);
/// Watchers tell the zone of themselves once in so many intervals: three times within the limit after
/// which a silent one counts no more.
constexpr int intervalsPerBeat = 3;

}

auto StoreDirectory::reliesOnWatchers(const KindWatch& kindWatch) const -> bool
{
    return kindWatch.revision != 0 && !m_election.isWatching;
}

auto StoreDirectory::handleDirectoryUpdate(const DirectoryUpdate& news) -> void
{
    updateWatcher(m_election, monotonicNow(), news.instance, news.isWatching);
    if (!news.changes)
        return;
    for (const auto& kindWatch : m_kindWatches) {
        if (kindWatch->kind != news.changes->kind || applyChanges(*kindWatch, *news.changes))
            continue;
        // Changes before these may be missing, unless another instance tells of them, too.
        if (kindWatch->revision < news.changes->after)
            handlePeerRevision(kindWatch->kind, news.changes->upTo);
    }
}

auto StoreDirectory::applyChanges(KindWatch& kindWatch, const KindChanges& changes) -> bool
{
    // A revision of 0 asks for the list, which has these changes and what came before.
    if (kindWatch.revision == 0 || kindWatch.revision < changes.after || kindWatch.revision >= changes.upTo)
        return false;
    const auto known = kindWatch.revision;
    for (const auto& change : changes.changes) {
        if (change.item.revision > known)
            kindWatch.change(change);
    }
    kindWatch.revision = changes.upTo;
    if (changes.changes.empty())
        return true;
    kindWatch.lastChange = changes.changes.back().item.revision;
    m_callbacks.changed(kindWatch.kind, kindWatch.lastChange);
    return true;
}

auto StoreDirectory::handlePeerRevision(const std::string& kind, std::int64_t revision) -> void
{
    for (const auto& kindWatch : m_kindWatches) {
        if (kindWatch->kind != kind || kindWatch->revision == 0 || kindWatch->revision >= revision || kindWatch->isListPending)
            continue;
        kindWatch->isListPending = true;
        asio::co_spawn(m_threads.context(0), readIfBehind(kindWatch, revision), logTaskFailure(m_log, "await news"));
    }
}

auto StoreDirectory::readIfBehind(KindWatchPointer kindWatch, std::int64_t revision) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    co_await pause(newsGrace);
    kindWatch->isListPending = false;
    if (kindWatch->revision == 0 || kindWatch->revision >= revision)
        co_return;
    m_log.record(LogLevel::Info, "change_told_by_peer", { { "kind", kindWatch->kind }, { "revision", revision }, { "own_revision", kindWatch->revision } });
    // A watch that waits meanwhile goes on; what it brings that the list has already is left out.
    const auto error = co_await readList(*kindWatch, true);
    if (error)
        m_log.record(LogLevel::Info, "change_not_read", { { "kind", kindWatch->kind }, { "revision", revision }, { "detail", error->detail } });
}

auto StoreDirectory::runElection() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    for (int count = 0;; ++count) {
        if (updateElection(m_election, monotonicNow()))
            m_log.record(LogLevel::Info, m_election.isWatching ? "watch_duty_started" : "watch_duty_ended", { { "watchers", m_election.watchers.size() } });
        if (count % intervalsPerBeat == 0)
            publishToZone(std::nullopt);
        co_await pause(dutyInterval);
    }
}

auto StoreDirectory::publishToZone(std::optional<KindChanges> changes) -> void
{
    if (!m_callbacks.publishToZone || !m_election.isWatching)
        return;
    const auto isWatching = std::ranges::all_of(m_kindWatches, [](const auto& kindWatch) { return kindWatch->isConnected; });
    m_callbacks.publishToZone({ m_settings.instance, isWatching, std::move(changes) });
}

}
