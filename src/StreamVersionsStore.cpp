#include "JitteredDelay.h"
#include "Pause.h"
#include "StoreRevision.h"
#include "StreamVersions.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr Duration checkInterval = std::chrono::milliseconds(100);
/// Mean delay before the first instance changes a state, and before the others do if it has not.
constexpr Duration meanFirstDelay = std::chrono::milliseconds(100);
constexpr Duration meanOtherDelay = std::chrono::seconds(2);
/// Take-ups within this time share a list.
constexpr Duration listInterval = std::chrono::milliseconds(50);
/// Interval of the lists that are read because peers know a change.
constexpr Duration peerReadInterval = std::chrono::seconds(1);
/// New streams within this time after a write share the next one. Less than a prefill takes.
constexpr Duration batchTime = std::chrono::milliseconds(50);
constexpr Duration minRetryDelay = std::chrono::milliseconds(50);
/// Limits the wait after the store has become available again. Streams wait for the write.
constexpr Duration maxRetryDelay = std::chrono::milliseconds(300);

/// @return the state in a stored object. One that can't be read has no default, so that its streams are unknown.
auto storedState(const StoredObject& object) -> StreamVersionState
{
    if (object.revision == 0)
        return {};
    return streamVersionStateFromJson(object.value).value_or(StreamVersionState { 1, std::nullopt, false, object.history });
}

}

auto StreamVersions::start() -> void
{
    const auto self = shared_from_this();
    const auto executor = m_threads.context(0).get_executor();
    spawnSupervised(executor, m_log, "read stream versions", [self] { return self->load(); });
    spawnSupervised(executor, m_log, "check stream versions", [self] { return self->checkPeriodically(); });
}

auto StreamVersions::wake() -> void
{
    {
        const std::lock_guard guard(m_lock);
        if (!m_isReady || (m_listsWanted <= m_listsStarted && m_inquiriesWanted == 0 && !needsWrite(m_table)))
            return;
    }
    asio::post(m_threads.context(0), [self = shared_from_this()] { self->runWork(); });
}

auto StreamVersions::runWork() -> void
{
    auto wantsList = false;
    auto wantsWrite = false;
    {
        const std::lock_guard guard(m_lock);
        wantsList = m_listsWanted > m_listsStarted;
        wantsWrite = needsWrite(m_table);
    }
    askPeers();
    if (wantsList && !std::exchange(m_isReadingLists, true))
        asio::co_spawn(m_threads.context(0), readLists(), logTaskFailure(m_log, "read stream versions"));
    if (wantsWrite && !std::exchange(m_isWritingRecords, true))
        asio::co_spawn(m_threads.context(0), writeRecords(), logTaskFailure(m_log, "write stream records"));
}

auto StreamVersions::load() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (!m_isReady) {
        const auto error = co_await readListOnce();
        if (error)
            co_await pause(logFailure("read", *error));
    }
}

auto StreamVersions::readLists() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    const auto isWanted = [this] {
        const std::lock_guard guard(m_lock);
        return m_listsWanted > m_listsStarted;
    };
    while (isWanted()) {
        const auto now = monotonicNow();
        if (now < m_lastListAt + listInterval)
            co_await pause(m_lastListAt + listInterval - now);
        const auto error = co_await readListOnce();
        if (error)
            logFailure("read", *error);
    }
    m_isReadingLists = false;
}

auto StreamVersions::readListOnce() -> asio::awaitable<std::optional<StoreError>>
{
    m_lastListAt = monotonicNow();
    std::uint64_t number = 0;
    std::int64_t reported = 0;
    {
        const std::lock_guard guard(m_lock);
        number = ++m_listsStarted;
        reported = m_reportedRevision;
    }
    const auto items = co_await m_store.list(m_threads.client(0), m_kind, ReadMode::Current);
    const std::lock_guard guard(m_lock);
    const auto isOld = items.has_value() && historyOf(items->revision) < m_history;
    if (items.has_error() || isOld) {
        m_listResult = { number, nullptr };
        if (items.has_error())
            co_return items.error();
        co_return StoreError { StoreErrorKind::HistoryGone, "the list is older than the restore of the store", Duration::zero() };
    }
    auto list = std::make_shared<const StreamVersionList>(readStreamVersions(*items));
    updateHistoryLocked(list->revision);
    applyListLocked(*list, reported);
    if (!m_isReady) {
        const auto own = std::ranges::find(items->items, streamRecordsName(m_instance), &StoredItem::name);
        const auto records = own == items->items.end() ? std::nullopt : reliableStreamRecords(own->value, m_history);
        if (records) {
            for (const auto& [request, record] : *records)
                mergeStored(m_table, { { request, record } }, own->revision, monotonicNow() + viewOfLocked(record.service).times.streamLifetime);
            m_table.revision = own->revision;
        }
        m_mustReadRecords = own != items->items.end() && !records;
        m_isReady = true;
    }
    m_listResult = { number, std::move(list) };
    co_return std::nullopt;
}

auto StreamVersions::applyListLocked(const StreamVersionList& list, std::int64_t reported) -> void
{
    m_revision = std::max(m_revision, list.revision);
    if (reported > m_revision) {
        m_log.record(LogLevel::Warning, "report_refuted", { { "kind", m_kind }, { "revision", numberOf(reported) }, { "history", historyOf(reported) }, { "own_revision", numberOf(m_revision) }, { "own_history", historyOf(m_revision) } });
        m_refutedRevision = reported;
        m_reportedRevision = 0;
    }
    updateBehindLocked();
    for (const auto& [service, state] : list.states)
        viewOfLocked(service);
    for (auto& [service, view] : m_views) {
        const auto stored = list.states.find(service);
        if (updateState(view, monotonicNow(), stored == list.states.end() ? StreamVersionState {} : stored->second))
            logState(service, view.state, "read");
    }
}

auto StreamVersions::checkPeriodically() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (true) {
        co_await pause(checkInterval);
        const auto now = monotonicNow();
        {
            const std::lock_guard guard(m_lock);
            removeExpired(m_table, now);
            std::erase_if(m_known, [&](const auto& known) { return known.second.expiresAt <= now; });
            if (m_reportedRevision > m_revision && now >= m_nextPeerRead) {
                m_nextPeerRead = now + jitteredDelay(peerReadInterval);
                m_listsWanted = std::max(m_listsWanted, m_listsStarted + 1);
            }
        }
        wake();
        if (m_isReady)
            startDueWrites(now);
    }
}

auto StreamVersions::startDueWrites(TimePoint now) -> void
{
    std::set<std::string> due;
    {
        const std::lock_guard guard(m_lock);
        for (const auto& [service, view] : m_views) {
            if (dueState(view, now))
                due.insert(service);
        }
    }
    std::erase_if(m_dueAt, [&](const auto& entry) { return !due.contains(entry.first); });
    for (const auto& service : due) {
        const auto [dueAt, isNew] = m_dueAt.try_emplace(service);
        if (isNew)
            dueAt->second = now + jitteredDelay(m_callbacks.isFirst() ? meanFirstDelay : meanOtherDelay);
        if (now < dueAt->second || !m_writingStates.insert(service).second)
            continue;
        dueAt->second = now + jitteredDelay(meanOtherDelay);
        asio::co_spawn(m_threads.context(0), writeState(service), logTaskFailure(m_log, "write the state of stream versions"));
    }
}

auto StreamVersions::writeState(std::string service) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    co_await writeStateOnce(service);
    m_writingStates.erase(service);
}

auto StreamVersions::writeStateOnce(const std::string& service) -> asio::awaitable<void>
{
    const auto name = streamStateName(service);
    const auto current = co_await m_store.read(m_threads.client(0), m_kind, name);
    if (current.has_error()) {
        logFailure("state", current.error());
        co_return;
    }
    const auto due = adoptState(service, *current);
    if (!due)
        co_return;
    const auto outcome = co_await m_store.update(m_threads.client(0), m_kind, name, streamVersionStateToJson(*due), current->revision);
    if (outcome.has_error()) {
        logFailure("state", outcome.error());
        co_return;
    }
    if (const auto* conflict = std::get_if<UpdateConflict>(&*outcome)) {
        adoptState(service, conflict->current);
        co_return;
    }
    const auto* applied = std::get_if<UpdateApplied>(&*outcome);
    {
        const std::lock_guard guard(m_lock);
        updateHistoryLocked(applied->revision);
        updateState(viewOfLocked(service), monotonicNow(), *due);
        m_revision = std::max(m_revision, applied->revision);
        updateBehindLocked();
        ++m_counts.stateWrites;
    }
    // The next change has a delay of its own.
    m_dueAt.erase(service);
    logState(service, *due, "written");
    m_callbacks.written(applied->revision);
}

auto StreamVersions::adoptState(const std::string& service, const StoredObject& stored) -> std::optional<StreamVersionState>
{
    const std::lock_guard guard(m_lock);
    if (stored.history < m_history)
        return std::nullopt;
    updateHistoryLocked(makeRevision(stored.history, 0));
    auto& view = viewOfLocked(service);
    if (updateState(view, monotonicNow(), storedState(stored)))
        logState(service, view.state, "read");
    return dueState(view, monotonicNow());
}

auto StreamVersions::writeRecords() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    const auto isNeeded = [this] {
        const std::lock_guard guard(m_lock);
        return needsWrite(m_table);
    };
    while (isNeeded()) {
        const auto delay = co_await writeRecordsOnce();
        co_await pause(delay);
    }
    m_isWritingRecords = false;
}

auto StreamVersions::readRecords() -> asio::awaitable<std::optional<StoreError>>
{
    const auto current = co_await m_store.read(m_threads.client(0), m_kind, streamRecordsName(m_instance));
    if (current.has_error())
        co_return current.error();
    const std::lock_guard guard(m_lock);
    updateHistoryLocked(makeRevision(current->history, 0));
    const auto records = reliableStreamRecords(current->value, m_history).value_or(std::map<std::string, StreamRecord>());
    for (const auto& [request, record] : records)
        mergeStored(m_table, { { request, record } }, current->revision, monotonicNow() + viewOfLocked(record.service).times.streamLifetime);
    m_table.revision = current->revision;
    m_mustReadRecords = false;
    co_return std::nullopt;
}

auto StreamVersions::writeRecordsOnce() -> asio::awaitable<Duration>
{
    auto mustRead = false;
    {
        const std::lock_guard guard(m_lock);
        mustRead = m_mustReadRecords;
    }
    if (mustRead) {
        const auto error = co_await readRecords();
        if (error) {
            const std::lock_guard guard(m_lock);
            m_hasWriteFailed = true;
            co_return logFailure("records", *error);
        }
    }
    std::uint64_t change = 0;
    std::int64_t revision = 0;
    boost::json::value value;
    {
        const std::lock_guard guard(m_lock);
        change = beginWrite(m_table);
        revision = m_table.revision;
        value = streamRecordsToJson(m_table);
    }
    const auto outcome = co_await m_store.update(m_threads.client(0), m_kind, streamRecordsName(m_instance), std::move(value), revision);
    const std::lock_guard guard(m_lock);
    m_hasWriteFailed = outcome.has_error();
    const auto* applied = outcome.has_value() ? std::get_if<UpdateApplied>(&*outcome) : nullptr;
    // The answer to a write before a restore does not show that the store still contains the records.
    const auto isConfirmed = applied && historyOf(applied->revision) >= m_history;
    if (isConfirmed) {
        updateHistoryLocked(applied->revision);
        confirmWrite(m_table, change, applied->revision);
        ++m_counts.recordWrites;
        co_return batchTime;
    }
    m_mustReadRecords = true;
    if (outcome.has_error())
        co_return logFailure("records", outcome.error());
    co_return Duration::zero();
}

auto StreamVersions::logState(const std::string& service, const StreamVersionState& state, std::string_view reason) -> void
{
    const auto* mode = !state.defaultVersion ? "no_default" : state.isClosing ? "closing"
                                                                              : "default";
    m_log.record(LogLevel::Info, "stream_version_state", { { "service", service }, { "state", mode }, { "default", state.defaultVersion.value_or("") }, { "epoch", static_cast<std::int64_t>(state.epoch) }, { "history", state.history }, { "change", reason } });
}

auto StreamVersions::logFailure(std::string_view what, const StoreError& error) -> Duration
{
    m_log.record(LogLevel::Info, "stream_versions_failed", { { "call", what }, { "detail", error.detail } });
    return std::clamp(jitteredDelay(error.retryAfter / 2), minRetryDelay, maxRetryDelay);
}

}
