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

/// Mean delay before the lists are read after a restore. All instances learn of it at nearly the same time, and
/// jitter spreads their calls over this time.
constexpr Duration meanRestoreReadDelay = std::chrono::milliseconds(200);
/// Mean interval of the lists that confirm the entries of backend servers, while they fail.
constexpr Duration meanConfirmationInterval = std::chrono::seconds(2);
/// Mean delay before the instance's record is written again. All instances write, and the peers count them for longer.
constexpr Duration meanRecordDelay = std::chrono::seconds(1);

}

auto StoreDirectory::handleStoreAnswer(std::int64_t revision) -> void
{
    m_storeRevision = std::max(m_storeRevision, revision);
    const auto history = historyOf(revision);
    const auto before = std::exchange(m_history, std::max(m_history.value_or(history), history));
    if (!before || *before >= history)
        return;
    // Peers whose watches still wait can't know of the restore. If one of them has reported it, all others know.
    const auto isReported = m_reportedHistory == history;
    readListsOfHistory(history);
    asio::co_spawn(m_threads.context(0), rewriteRecord(), logTaskFailure(m_log, "write the record after a restore"));
    const auto beginning = makeRevision(history, 0);
    for (const auto& kindWatch : m_kindWatches)
        m_callbacks.changed(kindWatch->kind, beginning);
    if (!isReported && m_callbacks.publishToZone)
        m_callbacks.publishToZone({ m_settings.instance, isServingZone(), KindChanges { m_format.configurationKind, beginning, beginning, {} }, history });
}

auto StoreDirectory::rewriteRecord() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    do
        co_await pause(jitteredDelay(meanRecordDelay));
    while (!co_await writeRecord());
}

auto StoreDirectory::restoreReadDelay() -> Duration
{
    return jitteredDelay(meanRestoreReadDelay);
}

auto StoreDirectory::readListsOfHistory(std::int64_t history) -> void
{
    for (const auto& kindWatch : m_kindWatches) {
        // With revision 0 the list is read next anyway.
        if (kindWatch->revision != 0 && historyOf(kindWatch->revision) < history)
            scheduleRead(kindWatch, makeRevision(history, 0), restoreReadDelay());
    }
}

auto StoreDirectory::isFromEndedHistory(std::int64_t revision) const -> bool
{
    return m_history && historyOf(revision) < *m_history;
}

auto StoreDirectory::recordApplied(KindWatch& kindWatch, std::int64_t revision) -> void
{
    const auto before = std::exchange(kindWatch.appliedRevision, std::max(kindWatch.appliedRevision, revision));
    if (before == 0 || historyOf(before) >= historyOf(revision))
        return;
    m_log.record(LogLevel::Warning, "store_restored", { { "kind", kindWatch.kind }, { "old_history", historyOf(before) }, { "old_revision", numberOf(before) }, { "history", historyOf(revision) }, { "revision", numberOf(revision) } });
    if (kindWatch.kind == m_format.blockedPartsKind)
        keepBlockedParts();
}

auto StoreDirectory::confirmUnlapsedEntries() -> void
{
    const auto now = monotonicNow();
    if (!hasUnlapsedEntry(m_directory) || now < m_nextConfirmation)
        return;
    m_nextConfirmation = now + jitteredDelay(meanConfirmationInterval);
    startRead(m_backendWatch);
}

auto StoreDirectory::logOutdated(const std::string& backend) -> void
{
    const auto& known = m_directory.entries.at(backend).server;
    m_log.record(LogLevel::Info, "backend_entry_outdated", { { "backend", backend }, { "known_state", known.state == ReplicaState::Live ? "live" : "leaving" }, { "known_incarnation", known.incarnation }, { "history", m_directory.history.value_or(0) } });
}

}
