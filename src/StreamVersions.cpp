#include "StreamVersions.h"

#include "Pause.h"
#include "StoreRevision.h"
#include "StreamRecordKey.h"

#include <boost/asio/cancellation_type.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Time for which a first event waits for a record without which the stream is not taken up.
constexpr Duration boundedWait = std::chrono::milliseconds(300);
/// Time after which a take-up no longer waits for the store. Callers take up within seconds.
constexpr Duration maxLookUpTime = std::chrono::seconds(2);
/// Time within which a list that failed is read again. A connection to the store that was reset fails only one call, and
/// an instance that was cut off or stood still reaches the store and its peers again.
constexpr Duration listRetryTime = std::chrono::seconds(1);
/// Time after which the peers are asked again, because a datagram can be lost. Take-ups within it share the replies.
constexpr Duration inquiryInterval = std::chrono::milliseconds(100);
/// A call to the store takes a few milliseconds.
constexpr Duration pollInterval = std::chrono::milliseconds(2);
/// Long waits are polled less often, because many streams may wait while the store is away.
constexpr Duration longPollInterval = std::chrono::milliseconds(20);
constexpr Duration longWait = std::chrono::milliseconds(50);

auto unixMilliseconds() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

auto nextPoll(Duration waitedFor) -> Duration
{
    return waitedFor < longWait ? pollInterval : longPollInterval;
}

auto countOf(StreamVersionCounts& counts, StreamVersionSource source) -> std::uint64_t&
{
    switch (source) {
    case StreamVersionSource::Memory:
        return counts.memory;
    case StreamVersionSource::Record:
        return counts.record;
    case StreamVersionSource::Default:
        return counts.defaultVersion;
    case StreamVersionSource::OnlyVersion:
        return counts.onlyVersion;
    case StreamVersionSource::Unknown:
        break;
    }
    return counts.unknown;
}

}

StreamVersions::StreamVersions(IoThreads& threads, ObjectStore& store, std::string kind, std::string instance, EventLog& log, StreamVersionsCallbacks callbacks)
    : m_threads(threads)
    , m_store(store)
    , m_kind(std::move(kind))
    , m_instance(std::move(instance))
    , m_log(log)
    , m_callbacks(std::move(callbacks))
    , m_availableSince(monotonicNow())
{
}

auto StreamVersions::viewOfLocked(const std::string& service) -> StreamVersionView&
{
    const auto [view, isNew] = m_views.try_emplace(service);
    if (isNew) {
        const auto lifetime = m_lifetimes.find(service);
        if (lifetime != m_lifetimes.end())
            view->second.times.streamLifetime = lifetime->second;
        view->second.history = m_history;
        view->second.availableSince = m_availableSince;
        view->second.isRead = m_isReady;
        if (!m_isAvailable)
            jayhold::updateAvailability(view->second, monotonicNow(), false);
    }
    return view->second;
}

auto StreamVersions::viewOfVersionLocked(const std::string& service, const std::string& version) -> StreamVersionView*
{
    if (const auto view = m_views.find(service); view != m_views.end())
        return &view->second;
    return version.empty() ? nullptr : &viewOfLocked(service);
}

auto StreamVersions::updateLifetimes(const std::map<std::string, Duration>& lifetimes) -> void
{
    const std::lock_guard guard(m_lock);
    for (const auto& [service, lifetime] : lifetimes) {
        // Streams that began with a longer lifetime may still be taken up.
        auto& longest = m_lifetimes[service];
        longest = std::max(longest, lifetime);
        if (const auto view = m_views.find(service); view != m_views.end()) {
            view->second.times.streamLifetime = longest;
            view->second.times.soleTime = std::max(StreamVersionTimes {}.soleTime, longest);
        }
    }
}

auto StreamVersions::updateListed(const std::map<std::string, ListedVersions>& versions) -> void
{
    const auto now = monotonicNow();
    {
        const std::lock_guard guard(m_lock);
        for (const auto& [service, listed] : versions) {
            const auto namesVersion = std::ranges::any_of(listed.all, [](const std::string& version) { return !version.empty(); });
            if (!namesVersion && !m_views.contains(service)) {
                if (!listed.all.empty())
                    m_unversioned.insert(service);
                continue;
            }
            m_unversioned.erase(service);
            auto& view = viewOfLocked(service);
            const auto before = view.listedSince;
            updateListedVersions(view, now, listed.all);
            m_serving[service] = listed.serving;
            // Another instance may have changed the state for the same reason.
            if (view.listedSince != before && m_isReady)
                m_listsWanted = std::max(m_listsWanted, m_listsStarted + 1);
        }
        for (auto& [service, view] : m_views) {
            if (!versions.contains(service))
                updateListedVersions(view, now, {});
        }
    }
    wake();
}

auto StreamVersions::updateAvailability(bool isAvailable) -> void
{
    const auto now = monotonicNow();
    const std::lock_guard guard(m_lock);
    if (isAvailable && !m_isAvailable)
        m_availableSince = now;
    m_isAvailable = isAvailable;
    for (auto& [service, view] : m_views)
        jayhold::updateAvailability(view, now, isAvailable);
}

auto StreamVersions::updateHistoryLocked(std::int64_t revision) -> void
{
    const auto history = historyOf(revision);
    if (history <= m_history)
        return;
    const auto isRestored = m_history > 0;
    m_history = history;
    m_table.history = history;
    for (auto& [service, view] : m_views)
        updateHistory(view, monotonicNow(), history);
    if (!isRestored)
        return;
    loseStored(m_table);
    m_mustReadRecords = true;
}

auto StreamVersions::handleApplied(bool isServers, std::int64_t revision) -> void
{
    {
        const std::lock_guard guard(m_lock);
        updateHistoryLocked(revision);
        if (isServers)
            m_serversApplied = std::max(m_serversApplied, revision);
    }
    wake();
}

auto StreamVersions::handlePeerRevision(const std::string& kind, bool isServers, std::int64_t revision) -> void
{
    const std::lock_guard guard(m_lock);
    if (isServers)
        m_serversReported = std::max(m_serversReported, revision);
    if (kind != m_kind || revision == m_refutedRevision)
        return;
    m_reportedRevision = std::max(m_reportedRevision, revision);
    updateBehindLocked();
}

auto StreamVersions::updateBehindLocked() -> void
{
    for (auto& [service, view] : m_views)
        updateBehind(view, monotonicNow(), m_reportedRevision > m_revision);
}

auto StreamVersions::rememberLocked(const std::string& service, const std::string& key, const StreamVersionAnswer& answer) -> void
{
    if (!key.empty())
        m_known[key] = { service, answer, monotonicNow() + viewOfLocked(service).times.streamLifetime };
}

auto StreamVersions::addRecordLocked(const StreamVersionView& view, const std::string& service, const std::string& key, const std::string& version) -> std::uint64_t
{
    return addRecord(m_table, key, { service, version, unixMilliseconds() }, monotonicNow() + view.times.streamLifetime);
}

auto StreamVersions::announce(const std::string& service, const std::string& request, const std::string& version) -> void
{
    const auto key = streamRecordKey(request);
    auto mayBeStored = false;
    {
        const std::lock_guard guard(m_lock);
        const auto* view = viewOfVersionLocked(service, version);
        if (!view || recordNeed(*view, m_table, monotonicNow(), key, version) == RecordNeed::None)
            return;
        addRecordLocked(*view, service, key, version);
        mayBeStored = mayBeStoredOtherwise(m_table, key, version);
    }
    if (mayBeStored)
        m_log.record(LogLevel::Info, "stream_record_corrected", { { "request", request }, { "service", service }, { "version", version } });
    wake();
}

auto StreamVersions::maySendLocked(const std::string& service, const std::string& key, const std::string& version, Duration waitedFor) -> bool
{
    const auto* view = viewOfVersionLocked(service, version);
    if (!view)
        return true;
    const auto need = recordNeed(*view, m_table, monotonicNow(), key, version);
    const auto change = need == RecordNeed::None ? 0 : addRecordLocked(*view, service, key, version);
    const auto isAway = !m_isAvailable || m_hasWriteFailed;
    const auto maySend = need == RecordNeed::None || isStored(m_table, change) || (need == RecordNeed::Bounded && (isAway || waitedFor >= boundedWait));
    if (maySend)
        rememberLocked(service, key, { version, StreamVersionSource::Memory, unixMilliseconds() });
    return maySend;
}

auto StreamVersions::waitForRecord(std::string service, std::string request, std::string version) -> asio::awaitable<bool>
{
    const auto self = shared_from_this();
    const auto key = streamRecordKey(request);
    const auto begin = monotonicNow();
    auto isLate = false;
    while (true) {
        const auto waitedFor = monotonicNow() - begin;
        auto maySend = false;
        auto isRecorded = false;
        {
            const std::lock_guard guard(m_lock);
            maySend = maySendLocked(service, key, version, waitedFor);
            const auto* record = findRecord(m_table, key);
            isRecorded = !record || isStored(m_table, m_table.entries.at(key).change);
        }
        if ((waitedFor >= boundedWait || (maySend && !isRecorded)) && !std::exchange(isLate, true)) {
            {
                const std::lock_guard guard(m_lock);
                ++m_counts.lateRecords;
            }
            m_log.record(LogLevel::Warning, "stream_record_late", { { "request", request }, { "service", service }, { "version", version }, { "sent_without", maySend && !isRecorded } });
        }
        if (maySend)
            co_return true;
        wake();
        co_await pause(nextPoll(waitedFor));
        const auto cancellation = co_await asio::this_coro::cancellation_state;
        if (cancellation.cancelled() != asio::cancellation_type::none)
            co_return false;
    }
}

auto StreamVersions::handleFirstEvent(const std::string& request) -> void
{
    const auto key = streamRecordKey(request);
    const std::lock_guard guard(m_lock);
    markBegun(m_table, key);
}

auto StreamVersions::knownLocked(const std::string& service, const std::string& key) const -> std::optional<StreamVersionAnswer>
{
    if (const auto known = m_known.find(key); known != m_known.end() && known->second.service == service) {
        auto answer = known->second.answer;
        answer.source = StreamVersionSource::Memory;
        return answer;
    }
    const auto* record = findRecord(m_table, key);
    if (record && record->service == service)
        return StreamVersionAnswer { record->version, StreamVersionSource::Memory, record->begunAtMs };
    return std::nullopt;
}

auto StreamVersions::find(std::string service, std::string resumed) -> asio::awaitable<std::optional<StreamVersionAnswer>>
{
    const auto self = shared_from_this();
    const auto key = streamRecordKey(resumed);
    const auto begin = monotonicNow();
    std::optional<StreamVersionAnswer> answer;
    std::uint64_t wanted = 0;
    std::uint64_t inquiry = 0;
    {
        const std::lock_guard guard(m_lock);
        if (m_unversioned.contains(service))
            co_return std::nullopt;
        viewOfLocked(service);
        answer = knownLocked(service, key);
        // A list that has already started may lack a record that was written since.
        wanted = m_listsStarted + 1;
        if (!answer)
            m_listsWanted = std::max(m_listsWanted, wanted);
    }
    if (!answer)
        wake();
    while (!answer) {
        const auto waitedFor = monotonicNow() - begin;
        {
            const std::lock_guard guard(m_lock);
            const auto& view = viewOfLocked(service);
            const auto isRead = m_listResult.number >= wanted;
            if (isRead && m_listResult.list) {
                answer = findStreamVersion(view, *m_listResult.list, service, key);
            } else if (isRead || waitedFor >= maxLookUpTime) {
                answer = findWithoutStoreLocked(view, inquiry);
                if (!answer->version && waitedFor < listRetryTime) {
                    answer.reset();
                    wanted = m_listsStarted + 1;
                    m_listsWanted = std::max(m_listsWanted, wanted);
                }
            }
            if (answer && answer->version)
                rememberLocked(service, key, *answer);
        }
        if (!answer) {
            wake();
            co_await pause(nextPoll(waitedFor));
        }
    }
    logAnswer(service, resumed, *answer);
    co_return answer;
}

auto StreamVersions::updateInstances(std::vector<std::string> instances) -> void
{
    const std::lock_guard guard(m_lock);
    std::erase(instances, m_instance);
    m_peers = std::move(instances);
    m_knowsPeers = true;
}

auto StreamVersions::handleReply(std::uint64_t number, const std::string& instance, std::int64_t serversRevision) -> void
{
    const std::lock_guard guard(m_lock);
    recordReply(m_inquiry, number, instance, serversRevision);
}

auto StreamVersions::findWithoutStoreLocked(const StreamVersionView& view, std::uint64_t& inquiry) -> StreamVersionAnswer
{
    // An inquiry that has already begun may have got its replies before a stream began.
    if (inquiry == 0)
        inquiry = m_inquiry.number + 1;
    const auto isAsked = m_knowsPeers && (m_peers.empty() || isConfirmed(m_inquiry, inquiry, m_serversApplied));
    if (!isAsked)
        m_inquiriesWanted = std::max(m_inquiriesWanted, inquiry);
    return findStreamVersionWithoutStore(view, monotonicNow(), !isAsked || m_serversReported > m_serversApplied);
}

auto StreamVersions::askPeers() -> void
{
    std::uint64_t number = 0;
    {
        const std::lock_guard guard(m_lock);
        const auto now = monotonicNow();
        if (m_inquiriesWanted == 0 || now - m_askedAt < inquiryInterval)
            return;
        if (m_inquiry.number < m_inquiriesWanted)
            beginInquiry(m_inquiry, m_peers);
        m_inquiriesWanted = 0;
        m_askedAt = now;
        number = m_inquiry.number;
    }
    m_callbacks.askPeers(number);
}

auto StreamVersions::logAnswer(const std::string& service, const std::string& resumed, const StreamVersionAnswer& answer) -> void
{
    {
        const std::lock_guard guard(m_lock);
        ++countOf(m_counts, answer.source);
        m_counts.storeAway += !answer.version && answer.isStoreAway ? 1 : 0;
    }
    const auto age = answer.begunAtMs > 0 ? unixMilliseconds() - answer.begunAtMs : -1;
    m_log.record(LogLevel::Info, "stream_version_found", { { "service", service }, { "resumed", resumed }, { "found", name(answer.source) }, { "version", answer.version.value_or("") }, { "age_ms", age }, { "store_away", answer.isStoreAway } });
}

auto StreamVersions::versionWithoutStore(const std::string& service) const -> std::optional<std::string>
{
    const std::lock_guard guard(m_lock);
    const auto view = m_views.find(service);
    if (view == m_views.end() || (m_isAvailable && !m_hasWriteFailed))
        return std::nullopt;
    const auto version = versionWithoutRecord(view->second);
    const auto serving = m_serving.find(service);
    const auto isServing = version && serving != m_serving.end() && serving->second.contains(*version);
    return isServing && !isOnlyListed(view->second, *version) ? version : std::nullopt;
}

auto StreamVersions::counts() const -> StreamVersionCounts
{
    const std::lock_guard guard(m_lock);
    return m_counts;
}

}
