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

auto StoreDirectory::isTold(const Follower& follower) const -> bool
{
    return follower.revision != 0 && !m_duty.isWatching;
}

auto StoreDirectory::noteNews(const DirectoryNews& news) -> void
{
    noteWatcher(m_duty, monotonicNow(), news.instance, news.isWatching);
    if (!news.changes)
        return;
    for (const auto& follower : m_followers) {
        if (follower->kind != news.changes->kind || takeChanges(*follower, *news.changes))
            continue;
        // Changes before these may be missing, unless another instance tells of them, too.
        if (follower->revision < news.changes->after)
            noteChange(follower->kind, news.changes->upTo);
    }
}

auto StoreDirectory::takeChanges(Follower& follower, const KindChanges& changes) -> bool
{
    // A revision of 0 asks for the list, which has these changes and what came before.
    if (follower.revision == 0 || follower.revision < changes.after || follower.revision >= changes.upTo)
        return false;
    const auto known = follower.revision;
    for (const auto& change : changes.changes) {
        if (change.item.revision > known)
            follower.change(change);
    }
    follower.revision = changes.upTo;
    if (changes.changes.empty())
        return true;
    follower.lastChange = changes.changes.back().item.revision;
    m_callbacks.changed(follower.kind, follower.lastChange);
    return true;
}

auto StoreDirectory::noteChange(const std::string& kind, std::int64_t revision) -> void
{
    for (const auto& follower : m_followers) {
        if (follower->kind != kind || follower->revision == 0 || follower->revision >= revision || follower->isAwaitingNews)
            continue;
        follower->isAwaitingNews = true;
        asio::co_spawn(m_threads.context(0), readIfBehind(follower, revision), reportTaskEnd(m_log, "await news"));
    }
}

auto StoreDirectory::readIfBehind(FollowerPointer follower, std::int64_t revision) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    co_await pause(newsGrace);
    follower->isAwaitingNews = false;
    if (follower->revision == 0 || follower->revision >= revision)
        co_return;
    m_log.record(LogLevel::Info, "change_told_by_peer", { { "kind", follower->kind }, { "revision", revision }, { "own_revision", follower->revision } });
    // A watch that waits meanwhile goes on; what it brings that the list has already is left out.
    const auto error = co_await readList(*follower, true);
    if (error)
        m_log.record(LogLevel::Info, "change_not_read", { { "kind", follower->kind }, { "revision", revision }, { "detail", error->detail } });
}

auto StoreDirectory::keepDuty() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    for (int count = 0;; ++count) {
        if (updateDuty(m_duty, monotonicNow()))
            m_log.record(LogLevel::Info, m_duty.isWatching ? "watch_duty_started" : "watch_duty_ended", { { "watchers", m_duty.watchers.size() } });
        if (count % intervalsPerBeat == 0)
            tellZone(std::nullopt);
        co_await pause(dutyInterval);
    }
}

auto StoreDirectory::tellZone(std::optional<KindChanges> changes) -> void
{
    if (!m_callbacks.tellZone || !m_duty.isWatching)
        return;
    const auto isWatching = std::ranges::all_of(m_followers, [](const auto& follower) { return follower->isConnected; });
    m_callbacks.tellZone({ m_settings.instance, isWatching, std::move(changes) });
}

}
