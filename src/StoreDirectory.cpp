#include "StoreDirectory.h"

#include "JitteredDelay.h"
#include "JsonFields.h"
#include "Pause.h"
#include "StoreRevision.h"
#include "Tasks.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Maximum duration of a watch of configuration and backend servers in percent of the maximum propagation
/// delay. When the store drops its
/// history, a waiting watch misses the dropped changes and gets an error only on its next call. The rest
/// of the delay is for that call and a new list.
constexpr int maxWatchPercent = 60;
/// The same for the lists of blocked prompt parts. Peers report the crashes as well, so the lists are the
/// second way in which an instance learns of a blocked part.
constexpr int maxBlockedPartsWatchPercent = 150;
constexpr std::size_t blockedPartsWatchers = 1;
constexpr int wholePercent = 100;
/// Mean duration of a watch in percent of its maximum. With jitter, watches last from a third of the maximum
/// to all of it, so that instances don't call at the same time.
constexpr int meanWatchPercent = 66;
/// Changes arrive in bursts, for example when all backend servers start. The next call gets all changes
/// within this time.
constexpr Duration batchTime = std::chrono::milliseconds(100);
/// Delay after a failed call, unless the store's back-off requires more.
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
/// Interval at which instance records are written and counted. Each write costs a call.
constexpr Duration instanceInterval = std::chrono::seconds(20);
/// Interval at which instance records are counted while their number changes, and written after a failure.
constexpr Duration joinInterval = std::chrono::seconds(2);
constexpr Duration expiryInterval = std::chrono::milliseconds(100);
/// Interval at which an instance that relies on watchers checks whether it has to watch the store itself.
constexpr Duration watcherCheckInterval = std::chrono::milliseconds(50);

auto textOf(const StoredItem& item, std::string_view field) -> std::string
{
    const auto* object = item.value.if_object();
    std::string text;
    if (object)
        readText(*object, field, text);
    return text;
}

/// @return the revision of the last change that the list shows, or 0 if it is empty.
auto newestRevision(const ItemList& list) -> std::int64_t
{
    std::int64_t newest = 0;
    for (const auto& item : list.items)
        newest = std::max(newest, item.revision);
    return newest;
}

/// @return whether a live server has been removed because the list does not contain it.
auto removesLiveServer(const std::vector<BackendServer>& before, const std::vector<BackendServer>& after, const ItemList& list) -> bool
{
    return std::ranges::any_of(before, [&](const BackendServer& server) {
        const auto found = std::ranges::find(after, server.id, &BackendServer::id);
        const auto isLive = found != after.end() && found->state == ReplicaState::Live;
        const auto isListed = std::ranges::find(list.items, server.id, &StoredItem::name) != list.items.end() || std::ranges::find(list.unreadableNames, server.id) != list.unreadableNames.end();
        return server.state == ReplicaState::Live && !isLive && !isListed;
    });
}

auto stateName(ReplicaState state) -> std::string_view
{
    return state == ReplicaState::Live ? "live" : "leaving";
}

}

StoreDirectory::StoreDirectory(IoThreads& threads, ObjectStore& store, DirectoryFormat format, DirectorySettings settings, EventLog& log, DirectoryCallbacks callbacks)
    : m_threads(threads)
    , m_store(store)
    , m_format(std::move(format))
    , m_settings(std::move(settings))
    , m_log(log)
    , m_callbacks(std::move(callbacks))
    , m_election { .instance = m_settings.instance }
{
    m_directory.settings.lapseTime = m_settings.backendLapseTime;
}

auto StoreDirectory::start() -> void
{
    const auto self = shared_from_this();
    const auto maxWatch = m_settings.maxPropagationDelay * maxWatchPercent / wholePercent;
    auto configuration = std::make_shared<KindWatch>();
    configuration->maxWatch = maxWatch;
    configuration->kind = m_format.configurationKind;
    configuration->applyList = [this](const ItemList& list) { std::ranges::for_each(list.items, [this](const StoredItem& item) { updateConfiguration(item); }); };
    configuration->applyChange = [this](const ItemChange& change) {
        if (!change.isDeleted)
            updateConfiguration(change.item);
    };
    auto backends = std::make_shared<KindWatch>();
    backends->kind = m_format.backendKind;
    backends->maxWatch = maxWatch;
    backends->applyList = [this](const ItemList& list) { replaceBackends(list); };
    backends->applyChange = [this](const ItemChange& change) { updateBackend(change); };
    m_backendWatch = backends;
    m_kindWatches = { configuration, backends };
    if (!m_format.blockedPartsKind.empty()) {
        auto blockedParts = std::make_shared<KindWatch>();
        blockedParts->kind = m_format.blockedPartsKind;
        blockedParts->maxWatch = m_settings.maxPropagationDelay * maxBlockedPartsWatchPercent / wholePercent;
        blockedParts->watchers = blockedPartsWatchers;
        blockedParts->applyList = [this](const ItemList& list) { replaceBlockedParts(list); };
        blockedParts->applyChange = [this](const ItemChange& change) {
            m_blockedPartsServices.insert(change.item.name);
            updateBlockedParts(change.item.name, change.isDeleted ? boost::json::value() : change.item.value);
        };
        m_kindWatches.push_back(blockedParts);
    }
    m_startedAt = monotonicNow();
    const auto executor = m_threads.context(0).get_executor();
    for (const auto& kindWatch : m_kindWatches)
        spawnSupervised(
            executor, m_log, "watch " + kindWatch->kind, [self, kindWatch] { return self->runKindWatch(kindWatch); }, minRetryDelay);
    spawnSupervised(executor, m_log, "announce instance", [self] { return self->announceInstance(); });
    spawnSupervised(executor, m_log, "count instances", [self] { return self->countInstances(); });
    spawnSupervised(executor, m_log, "expire backends", [self] { return self->expireBackends(); });
    if (m_callbacks.publishToZone)
        spawnSupervised(executor, m_log, "elect watchers", [self] { return self->runElection(); });
}

auto StoreDirectory::summary() const -> Summary
{
    return { m_version, m_published.size(), m_liveInstances, m_directory.unavailableSince, m_history.value_or(0), m_leavingByAnswer };
}

auto StoreDirectory::runKindWatch(KindWatchPointer kindWatch) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    if (kindWatch == m_backendWatch)
        co_await awaitBlockedParts();
    // A restart of this coroutine reads the list again, because the state that the earlier run left may be
    // incomplete.
    kindWatch->revision = 0;
    while (true) {
        if (reliesOnWatchers(*kindWatch)) {
            storeAnswered(m_directory, monotonicNow());
            updateConnectionState(*kindWatch, std::nullopt);
            co_await pause(watcherCheckInterval);
            continue;
        }
        const auto isList = kindWatch->revision == 0;
        const auto error = co_await watchOnce(*kindWatch);
        if (error && error->kind == StoreErrorKind::HistoryGone && !isList)
            m_log.record(LogLevel::Info, "store_history_gone", { { "kind", kindWatch->kind } });
        else
            updateConnectionState(*kindWatch, error);
        if (error && (isList || error->kind != StoreErrorKind::HistoryGone))
            co_await pause(jitteredDelay(std::max(minRetryDelay, error->retryAfter / 2)));
    }
}

auto StoreDirectory::readList(KindWatch& kindWatch, bool isPeerTriggered) -> asio::awaitable<std::optional<StoreError>>
{
    const auto list = co_await m_store.list(m_threads.client(0), kindWatch.kind, ReadMode::Current);
    if (list.has_error())
        co_return list.error();
    storeAnswered(m_directory, monotonicNow());
    handleStoreAnswer(list->revision);
    if (isFromEndedHistory(list->revision))
        co_return StoreError { StoreErrorKind::HistoryGone, "the list is older than the restore of the store", Duration::zero() };
    // Changes that were applied while the list was in transit are newer than the list.
    if (list->revision < kindWatch.revision)
        co_return std::nullopt;
    logUnreadable(kindWatch.kind, list->unreadable, list->unreadableNames);
    const auto before = m_published;
    recordApplied(kindWatch, list->revision);
    kindWatch.applyList(*list);
    kindWatch.revision = list->revision;
    kindWatch.lastChange = list->revision;
    // A list shows changes that were dropped with the store's history, which waiting watches of the peers
    // miss. A removed server leaves no revision except that of the list. Only the first instance to
    // notice the removal reports that revision, because every list has a different one.
    const auto reportsListRevision = !isPeerTriggered && removesLiveServer(before, m_published, *list);
    // An empty list reports its history, so that peers notice a restore.
    const auto reported = std::max(newestRevision(*list), makeRevision(historyOf(list->revision), 0));
    m_callbacks.changed(kindWatch.kind, reportsListRevision ? list->revision : reported);
    co_return std::nullopt;
}

auto StoreDirectory::watchOnce(KindWatch& kindWatch) -> asio::awaitable<std::optional<StoreError>>
{
    if (kindWatch.revision == 0)
        co_return co_await readList(kindWatch, false);
    const auto afterRevision = kindWatch.lastChange;
    const auto startRevision = kindWatch.revision;
    const auto meanDuration = kindWatch.maxWatch * meanWatchPercent / wholePercent;
    auto result = co_await m_store.watch(m_threads.client(0), kindWatch.kind, startRevision, jitteredDelay(meanDuration));
    // A list of the new history was read while the watch of the ended one waited.
    if (result.has_error() && result.error().kind == StoreErrorKind::HistoryGone && historyOf(startRevision) < historyOf(kindWatch.revision))
        co_return std::nullopt;
    if (result.has_error()) {
        // Changes may have been lost with the response. Only a list is certain to contain them all.
        kindWatch.revision = 0;
        co_return result.error();
    }
    storeAnswered(m_directory, monotonicNow());
    m_storeRevision = std::max(m_storeRevision, result->revision);
    logUnreadable(kindWatch.kind, result->unreadable, result->unreadableNames);
    KindChanges changes { kindWatch.kind, afterRevision, result->revision, std::move(result->changes) };
    const auto isComplete = result->unreadable == 0;
    const auto hasChanges = !changes.changes.empty();
    if (applyChanges(kindWatch, changes) && isComplete && hasChanges)
        publishToZone(std::move(changes));
    if (hasChanges)
        co_await pause(batchTime);
    co_return std::nullopt;
}

auto StoreDirectory::updateConnectionState(KindWatch& kindWatch, const std::optional<StoreError>& error) -> void
{
    if (error)
        storeFailed(m_directory, monotonicNow());
    m_callbacks.onStoreAvailability(m_directory.unavailableSince);
    if (kindWatch.isConnected == !error)
        return;
    kindWatch.isConnected = !error;
    if (error)
        m_log.record(LogLevel::Warning, "store_lost", { { "kind", kindWatch.kind }, { "detail", error->detail } });
    else
        m_log.record(LogLevel::Info, "store_connected", { { "kind", kindWatch.kind }, { "revision", numberOf(kindWatch.revision) }, { "history", historyOf(kindWatch.revision) } });
}

auto StoreDirectory::announceInstance() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (true) {
        const auto isWritten = co_await writeRecord();
        co_await pause(isWritten ? jitteredDelay(instanceInterval) : jitteredDelay(joinInterval));
    }
}

auto StoreDirectory::writeRecord() -> asio::awaitable<bool>
{
    boost::json::object value { { "beat", ++m_heartbeat } };
    if (m_settings.peerEndpoint)
        value["address"] = toString(*m_settings.peerEndpoint);
    value["availability_zone"] = m_settings.availabilityZone;
    const auto before = appliedRevisions();
    const auto revision = co_await m_store.put(m_threads.client(0), m_format.instanceKind, m_settings.instance, std::move(value));
    if (revision.has_value()) {
        handleStoreAnswer(*revision);
        refuteRevisions(before, *revision);
    } else
        m_log.record(LogLevel::Info, "instance_not_announced", { { "detail", revision.error().detail } });
    co_return revision.has_value();
}

auto StoreDirectory::countInstances() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto interval = joinInterval;
    while (true) {
        // A stale list would lack the instances that have started with this one.
        const auto mode = interval == joinInterval ? ReadMode::Current : ReadMode::MayBeStale;
        const auto list = co_await m_store.list(m_threads.client(0), m_format.instanceKind, mode);
        if (list.has_error()) {
            m_log.record(LogLevel::Info, "instances_not_counted", { { "detail", list.error().detail } });
            co_await pause(jitteredDelay(interval));
            continue;
        }
        handleStoreAnswer(list->revision);
        if (isFromEndedHistory(list->revision)) {
            co_await pause(jitteredDelay(interval));
            continue;
        }
        logUnreadable(m_format.instanceKind, list->unreadable, list->unreadableNames);
        const auto now = monotonicNow();
        beginList(m_instances, now);
        for (const auto& item : list->items)
            recordInstance(m_instances, now, item.name, item.revision, parseRemoteEndpoint(textOf(item, "address")), textOf(item, "availability_zone"));
        // This instance counts even if it could not write its record.
        recordMessage(m_instances, now, m_settings.instance);
        // While instances join, the next list may show more of them.
        interval = updateInstanceCount(now) ? joinInterval : instanceInterval;
        m_callbacks.peers(livePeers(m_instances, now));
        co_await pause(jitteredDelay(interval));
    }
}

auto StoreDirectory::updateInstanceCount(TimePoint now) -> bool
{
    auto names = liveInstanceNames(m_instances, now);
    if (names != m_instanceNames) {
        m_instanceNames = std::move(names);
        m_callbacks.instances(m_instanceNames);
    }
    const auto live = liveInstances(m_instances, now);
    if (live == m_liveInstances)
        return false;
    m_liveInstances = live;
    m_log.record(LogLevel::Info, "instances_counted", { { "live", live } });
    m_callbacks.instanceCount(live);
    return true;
}

auto StoreDirectory::handlePeerMessage(const std::string& instance) -> void
{
    const auto now = monotonicNow();
    if (recordMessage(m_instances, now, instance) && m_liveInstances > 0)
        updateInstanceCount(now);
}

auto StoreDirectory::expireBackends() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (true) {
        co_await pause(expiryInterval);
        if (expire(m_directory, monotonicNow()))
            publishBackends();
        confirmUnlapsedEntries();
    }
}

auto StoreDirectory::updateConfiguration(const StoredItem& item) -> void
{
    if (item.name != m_format.configurationName)
        return;
    auto configuration = m_format.readConfiguration(item);
    if (!configuration) {
        m_log.record(LogLevel::Error, "configuration_unreadable", { { "revision", numberOf(item.revision) }, { "history", historyOf(item.revision) } });
        return;
    }
    // Versions are applied in increasing order only.
    if (configuration->version <= m_version)
        return;
    m_version = configuration->version;
    m_log.record(LogLevel::Info, "configuration_in_force", { { "version", m_version }, { "revision", numberOf(item.revision) }, { "history", historyOf(item.revision) }, { "routes", configuration->routes.size() } });
    m_callbacks.configuration(std::move(*configuration));
}

auto StoreDirectory::replaceBackends(const ItemList& list) -> void
{
    std::vector<BackendServer> listed;
    for (const auto& item : list.items) {
        if (auto server = m_format.readBackend(item))
            listed.push_back(std::move(*server));
        else
            m_log.record(LogLevel::Info, "backend_unreadable", { { "backend", item.name }, { "revision", numberOf(item.revision) }, { "history", historyOf(item.revision) } });
    }
    beginHistory(m_directory, monotonicNow(), historyOf(list.revision));
    for (const auto& id : replaceAll(m_directory, monotonicNow(), std::move(listed)))
        logOutdated(id);
    publishBackends();
}

auto StoreDirectory::updateBackend(const ItemChange& change) -> void
{
    if (change.isDeleted) {
        remove(m_directory, monotonicNow(), change.item.name);
    } else if (auto server = m_format.readBackend(change.item)) {
        if (!upsert(m_directory, std::move(*server), EntrySource::Change))
            logOutdated(change.item.name);
    } else {
        m_log.record(LogLevel::Info, "backend_unreadable", { { "backend", change.item.name }, { "revision", numberOf(change.item.revision) }, { "history", historyOf(change.item.revision) } });
        return;
    }
    publishBackends();
}

auto StoreDirectory::publishBackends() -> void
{
    auto next = servers(m_directory);
    if (next == m_published)
        return;
    logBackendChanges(next);
    m_published = next;
    m_callbacks.backends(std::move(next));
}

auto StoreDirectory::logBackendChanges(const std::vector<BackendServer>& next) -> void
{
    for (const auto& server : next) {
        const auto before = std::ranges::find(m_published, server.id, &BackendServer::id);
        if (before != m_published.end() && before->state == server.state && hasSameIncarnation(*before, server))
            continue;
        m_log.record(LogLevel::Info, "backend_changed", { { "backend", server.id }, { "state", stateName(server.state) }, { "pool", server.pool }, { "address", toString(server.endpoint) }, { "incarnation", server.incarnation }, { "software_version", server.softwareVersion }, { "successor", successorOf(m_directory, server).value_or("") } });
    }
    for (const auto& server : m_published) {
        if (std::ranges::find(next, server.id, &BackendServer::id) == next.end())
            m_log.record(LogLevel::Info, "backend_forgotten", { { "backend", server.id } });
    }
}

}
