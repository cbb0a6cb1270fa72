#include "JitteredDelay.h"
#include "Pause.h"
#include "StoreDirectory.h"
#include "StoreRevision.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <utility>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Time to wait for a change that a peer has reported before the list is read. The updates of the zone or
/// this instance's own watch deliver it about when the report arrives, and within this time with a slow store.
constexpr Duration peerRevisionGrace = std::chrono::milliseconds(150);
/// Delay before a list is read again after a failed read, unless the store's back-off requires more.
constexpr Duration minReadRetryDelay = std::chrono::milliseconds(200);
/// Time for which reports are ignored after a list has refuted one. Peers repeat their reports in less, and a change that
/// is missed has to be read within the maximum propagation delay.
constexpr Duration refutationTime = std::chrono::seconds(1);
/// Changes that the store may have made since its last answer to this instance. It takes some hundred writes a second, and
/// an instance writes its record at least twice a minute.
constexpr std::int64_t maxUnconfirmedChanges = 1'000'000;
constexpr Duration electionInterval = std::chrono::milliseconds(100);
/// Election intervals between two heartbeats of a watcher to its zone, so that it sends three of them within
/// the watcher timeout.
constexpr int intervalsPerHeartbeat = 3;
/// Bound a log line on unreadable items: another writer may leave any number of them, with names of any size.
constexpr std::size_t maxLoggedNames = 8;
constexpr std::size_t maxLoggedNameBytes = 100;

auto originName(ResponseOrigin origin) -> std::string_view
{
    switch (origin) {
    case ResponseOrigin::Call:
        return "call";
    case ResponseOrigin::ControlCall:
        return "control_call";
    case ResponseOrigin::Unidentified:
        return "unidentified";
    }
    return "";
}

}

auto StoreDirectory::reliesOnWatchers(const KindWatch& kindWatch) const -> bool
{
    if (kindWatch.revision == 0)
        return false;
    return !m_election.isWatching || (kindWatch.watchers && precedingWatchers(m_election) >= *kindWatch.watchers);
}

auto StoreDirectory::handleDirectoryUpdate(const DirectoryUpdate& update) -> void
{
    // A watcher that stays in an ended history sends nothing that can be applied. It is no longer counted when its
    // timeout is over, so one that learns of the restore in time remains a watcher.
    if (!update.isWatching || update.history >= m_history.value_or(0))
        updateWatcher(m_election, monotonicNow(), update.instance, update.isWatching);
    // The update that reported the restore may have been lost.
    if (m_history && update.history > *m_history)
        handlePeerRevision(m_format.configurationKind, makeRevision(update.history, 0));
    if (!update.changes)
        return;
    const auto mayApply = isPlausible(*update.changes);
    for (const auto& kindWatch : m_kindWatches) {
        if (kindWatch->kind != update.changes->kind || (mayApply && applyChanges(*kindWatch, *update.changes)))
            continue;
        // Changes before these may be missing, unless another watcher delivers them.
        if (!mayApply || kindWatch->revision < update.changes->after)
            handlePeerRevision(kindWatch->kind, update.changes->upTo);
    }
}

auto StoreDirectory::isPlausible(const KindChanges& changes) const -> bool
{
    const auto isInOrder = changes.after <= changes.upTo && std::ranges::all_of(changes.changes, [&](const ItemChange& change) { return change.item.revision <= changes.upTo; });
    return isInOrder && (historyOf(changes.upTo) != historyOf(m_storeRevision) || changes.upTo - m_storeRevision <= maxUnconfirmedChanges);
}

auto StoreDirectory::appliedRevisions() const -> std::vector<std::int64_t>
{
    std::vector<std::int64_t> revisions;
    for (const auto& kindWatch : m_kindWatches)
        revisions.push_back(kindWatch->revision);
    return revisions;
}

auto StoreDirectory::refuteRevisions(std::span<const std::int64_t> before, std::int64_t answered) -> void
{
    for (std::size_t index = 0; index < before.size(); ++index) {
        auto& kindWatch = *m_kindWatches[index];
        if (historyOf(before[index]) != historyOf(answered) || before[index] <= answered || kindWatch.revision < before[index])
            continue;
        m_log.record(LogLevel::Warning, "report_refuted", { { "kind", kindWatch.kind }, { "revision", numberOf(before[index]) }, { "history", historyOf(before[index]) }, { "own_revision", numberOf(answered) }, { "own_history", historyOf(answered) } });
        kindWatch.revision = 0;
        m_callbacks.revisionRefuted(kindWatch.kind);
        // The own watch may wait for long from the wrong revision. It reads the list as well if this read fails.
        startRead(m_kindWatches[index]);
    }
}

auto StoreDirectory::startRead(const KindWatchPointer& kindWatch) -> void
{
    const auto read = [](std::shared_ptr<StoreDirectory> self, KindWatchPointer target) -> asio::awaitable<void> { co_await self->readList(*target, true); };
    asio::co_spawn(m_threads.context(0), read(shared_from_this(), kindWatch), logTaskFailure(m_log, "read a list"));
}

auto StoreDirectory::applyChanges(KindWatch& kindWatch, const KindChanges& changes) -> bool
{
    // The changes of two histories don't continue each other.
    if (isFromEndedHistory(changes.upTo) || historyOf(changes.after) != historyOf(changes.upTo))
        return false;
    // With revision 0 the list is read next, which contains these and all earlier changes.
    if (kindWatch.revision == 0 || kindWatch.revision < changes.after || kindWatch.revision >= changes.upTo)
        return false;
    const auto known = kindWatch.revision;
    recordApplied(kindWatch, changes.upTo);
    for (const auto& change : changes.changes) {
        if (change.item.revision > known)
            kindWatch.applyChange(change);
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
    if (isFromEndedHistory(revision))
        return;
    const auto history = historyOf(revision);
    const auto isNewHistory = m_history && history > *m_history;
    const auto now = monotonicNow();
    for (const auto& kindWatch : m_kindWatches) {
        const auto isReportedKind = kindWatch->kind == kind;
        if (kindWatch->revision == 0 || kindWatch->revision >= revision || (!isReportedKind && !isNewHistory))
            continue;
        const auto reported = isReportedKind ? revision : makeRevision(history, 0);
        if (kindWatch->refutedRevision != 0 && reported >= kindWatch->refutedRevision && now < kindWatch->refutedUntil)
            continue;
        if (isNewHistory)
            m_reportedHistory = std::max(m_reportedHistory, history);
        scheduleRead(kindWatch, reported, isNewHistory ? restoreReadDelay() : peerRevisionGrace);
    }
}

auto StoreDirectory::scheduleRead(const KindWatchPointer& kindWatch, std::int64_t revision, Duration delay) -> void
{
    kindWatch->reportedRevision = kindWatch->isListPending ? std::max(kindWatch->reportedRevision, revision) : revision;
    if (std::exchange(kindWatch->isListPending, true))
        return;
    asio::co_spawn(m_threads.context(0), readIfBehind(kindWatch, delay), logTaskFailure(m_log, "read missed changes"));
}

auto StoreDirectory::readIfBehind(KindWatchPointer kindWatch, Duration delay) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (true) {
        co_await pause(delay);
        kindWatch->isListPending = false;
        const auto revision = kindWatch->reportedRevision;
        if (kindWatch->revision == 0 || kindWatch->revision >= revision)
            co_return;
        m_log.record(LogLevel::Info, "change_told_by_peer", { { "kind", kindWatch->kind }, { "revision", numberOf(revision) }, { "history", historyOf(revision) }, { "own_revision", numberOf(kindWatch->revision) }, { "own_history", historyOf(kindWatch->revision) } });
        // A waiting watch continues. Changes that it returns and the list already contained are skipped.
        const auto error = co_await readList(*kindWatch, true);
        if (!error)
            checkReport(*kindWatch, revision);
        if (!error || kindWatch->isListPending)
            co_return;
        m_log.record(LogLevel::Info, "change_not_read", { { "kind", kindWatch->kind }, { "revision", numberOf(revision) }, { "history", historyOf(revision) }, { "detail", error->detail } });
        // The report may not be repeated.
        kindWatch->isListPending = true;
        kindWatch->reportedRevision = revision;
        delay = jitteredDelay(std::max(minReadRetryDelay, error->retryAfter / 2));
    }
}

auto StoreDirectory::checkReport(KindWatch& kindWatch, std::int64_t reported) -> void
{
    if (kindWatch.revision >= kindWatch.refutedRevision)
        kindWatch.refutedRevision = 0;
    if (kindWatch.revision >= reported)
        return;
    if (kindWatch.refutedRevision == 0 || reported < kindWatch.refutedRevision)
        kindWatch.refutedRevision = reported;
    kindWatch.refutedUntil = monotonicNow() + refutationTime;
    if (m_history && m_reportedHistory > *m_history)
        m_reportedHistory = 0;
    m_log.record(LogLevel::Warning, "report_refuted", { { "kind", kindWatch.kind }, { "revision", numberOf(reported) }, { "history", historyOf(reported) }, { "own_revision", numberOf(kindWatch.revision) }, { "own_history", historyOf(kindWatch.revision) } });
}

auto StoreDirectory::handleLeaving(const BackendServer& server, const BackendNotice& notice) -> void
{
    const auto listed = markLeaving(m_directory, server);
    if (!listed)
        return;
    ++m_leavingByAnswer;
    m_log.record(LogLevel::Info, "backend_said_leaving", { { "backend", server.id }, { "incarnation", server.incarnation }, { "status", notice.status }, { "answer_to", originName(notice.origin) }, { "listed_state", *listed == ReplicaState::Live ? "live" : "leaving" }, { "history", m_directory.history.value_or(0) } });
    publishBackends();
}

auto StoreDirectory::logUnreadable(const std::string& kind, std::size_t count, std::span<const std::string> names) -> void
{
    if (count == 0)
        return;
    std::string listed;
    for (const auto& name : names.first(std::min(names.size(), maxLoggedNames)))
        listed += (listed.empty() ? "" : ",") + name.substr(0, maxLoggedNameBytes);
    m_log.record(LogLevel::Warning, "store_items_unreadable", { { "kind", kind }, { "count", count }, { "names", listed } });
}

auto StoreDirectory::runElection() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    for (int count = 0;; ++count) {
        if (updateElection(m_election, monotonicNow()))
            m_log.record(LogLevel::Info, m_election.isWatching ? "watch_duty_started" : "watch_duty_ended", { { "watchers", m_election.watchers.size() } });
        if (count % intervalsPerHeartbeat == 0)
            publishToZone(std::nullopt);
        co_await pause(electionInterval);
    }
}

auto StoreDirectory::publishToZone(std::optional<KindChanges> changes) -> void
{
    if (!m_callbacks.publishToZone || !m_election.isWatching)
        return;
    m_callbacks.publishToZone({ m_settings.instance, isServingZone(), std::move(changes), m_history.value_or(0) });
}

auto StoreDirectory::isServingZone() const -> bool
{
    return m_election.isWatching && std::ranges::all_of(m_kindWatches, [](const auto& kindWatch) { return kindWatch->isConnected; });
}

}
