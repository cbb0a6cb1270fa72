#pragma once

/// An entry instance's view of the platform's store: the active configuration, the backend servers and
/// the number of live instances. Lists are read once and then watched. While the store is unavailable,
/// the last known state stays in use.

#include "BackendDirectory.h"
#include "BackendNotice.h"
#include "BlockedParts.h"
#include "Configuration.h"
#include "DirectoryUpdate.h"
#include "EventLog.h"
#include "InstanceCount.h"
#include "IoThreads.h"
#include "ObjectStore.h"
#include "WatcherElection.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace jayhold {

/// Names of the objects that the directory reads from the store, and functions that parse them.
struct DirectoryFormat {
    std::string configurationKind;
    std::string configurationName;
    std::string backendKind;
    std::string instanceKind;
    std::string leaseKind;
    /// Kind of the lists of blocked prompt parts, one object for each service; empty if there are none.
    std::string blockedPartsKind;
    /// Kind of the software versions of streams, one object for each service and instance; empty if servers have none.
    /// The directory does not read it.
    std::string streamVersionsKind {};
    /// @return the configuration, or nothing if the object is not a configuration.
    std::function<std::optional<Configuration>(const StoredItem&)> readConfiguration;
    /// @return the backend server, or nothing if the object does not describe one.
    std::function<std::optional<BackendServer>(const StoredItem&)> readBackend;
};

struct DirectorySettings {
    std::string instance;
    std::string availabilityZone;
    /// Address at which other instances reach this one.
    std::optional<HttpEndpoint> peerEndpoint;
    /// Time within which a change has to take effect on this instance.
    Duration maxPropagationDelay = std::chrono::seconds(2);
    /// Time after which the store has removed the entry of a backend server that no longer writes it.
    Duration backendLapseTime = BackendDirectorySettings {}.lapseTime;
};

struct DirectoryCallbacks {
    std::function<void(Configuration)> configuration;
    std::function<void(std::vector<BackendServer>)> backends;
    /// Receives the number of live instances, including this one, when it is first known and when it
    /// changes.
    std::function<void(std::uint32_t)> instanceCount;
    /// Receives the names of the live instances, including this one, when they are first known and when
    /// they change.
    std::function<void(const std::vector<std::string>&)> instances = [](const std::vector<std::string>&) {};
    /// Receives the addresses of the live instances that have one.
    std::function<void(std::vector<PeerAddress>)> peers;
    /// Receives the list of blocked prompt parts of a service.
    std::function<void(const std::string& service, std::vector<ListedPart>)> blockedParts = [](const std::string&, const std::vector<ListedPart>&) {};
    /// Receives the blocked prompt parts of a service that a restore of the store may have lost and that have to be
    /// written again.
    std::function<void(const std::string& service, std::vector<ListedPart>)> lostBlockedParts = [](const std::string&, const std::vector<ListedPart>&) {};
    /// Receives the time since when the store has been unavailable, or nothing while it is available.
    std::function<void(std::optional<TimePoint>)> onStoreAvailability = [](std::optional<TimePoint>) {};
    /// Changes of a watched kind have been applied up to a revision, from a list, a watch or an update.
    std::function<void(const std::string& kind, std::int64_t revision)> changed = [](const std::string&, std::int64_t) {};
    /// A revision of a kind that was applied, and may have been passed to `changed`, is wrong.
    std::function<void(const std::string& kind)> revisionRefuted = [](const std::string&) {};
    /// Sends a directory update to the other instances of the zone. Absent if there is no channel to them.
    std::function<void(const DirectoryUpdate&)> publishToZone;
};

class StoreDirectory : public std::enable_shared_from_this<StoreDirectory> {
public:
    StoreDirectory(IoThreads& threads, ObjectStore& store, DirectoryFormat format, DirectorySettings settings, EventLog& log, DirectoryCallbacks callbacks);

    /// Starts the coroutines on the first I/O thread.
    auto start() -> void;

    /// State for metrics.
    struct Summary {
        std::int64_t configurationVersion = 0;
        std::size_t backends = 0;
        /// 0 until the instances have been counted.
        std::uint32_t instances = 0;
        /// Since when the store has been unavailable; absent while it is available.
        std::optional<TimePoint> storeUnavailableSince;
        /// Greatest history that the store has named; each restore from an older copy increases it. 0 if none.
        std::int64_t storeHistory = 0;
        /// Number of processes of backend servers that have said that they are leaving.
        std::uint64_t leavingByAnswer = 0;
    };
    /// Must be called on the first I/O thread.
    auto summary() const -> Summary;

    /// Handles the report that a peer has applied changes of a kind up to a revision. If this instance does
    /// not get them soon, it reads the list again; if the revision begins a new history, it reads those of all
    /// kinds. Must be called on the first I/O thread.
    auto handlePeerRevision(const std::string& kind, std::int64_t revision) -> void;

    /// Records that a message of an instance has arrived. Must be called on the first I/O thread.
    auto handlePeerMessage(const std::string& instance) -> void;

    /// Handles a response in which a backend server says that it is leaving. Must be called on the first I/O thread.
    auto handleLeaving(const BackendServer& server, const BackendNotice& notice) -> void;

    /// Handles an update from another instance of the zone. Must be called on the first I/O thread.
    auto handleDirectoryUpdate(const DirectoryUpdate& update) -> void;

private:
    /// State of the list and watch of one kind of objects.
    struct KindWatch {
        std::string kind;
        /// Applies a complete list.
        std::function<void(const ItemList&)> applyList;
        std::function<void(const ItemChange&)> applyChange;
        /// Maximum duration of a watch.
        Duration maxWatch {};
        /// Number of watchers of the zone that watch the kind, if not all of them do.
        std::optional<std::size_t> watchers {};
        /// Revision at which the next watch starts, or 0 if the list has to be read.
        std::int64_t revision = 0;
        /// Revision of the last known change. After a list it is the revision of the list, because the last
        /// change may be a deletion, which the list does not show.
        std::int64_t lastChange = 0;
        /// Greatest revision that has been applied. It stays when the list has to be read again.
        std::int64_t appliedRevision = 0;
        bool isConnected = false;
        /// Whether a list read is scheduled, in case a change reported by a peer does not arrive otherwise.
        bool isListPending = false;
        /// Greatest revision that peers or answers of the store have reported and that a scheduled read must reach.
        std::int64_t reportedRevision = 0;
        /// Least revision that peers have reported and a later list has not reached; 0 if none.
        std::int64_t refutedRevision = 0;
        /// Reports from the refuted revision on are ignored until then.
        TimePoint refutedUntil {};
    };
    using KindWatchPointer = std::shared_ptr<KindWatch>;

    auto runKindWatch(KindWatchPointer kindWatch) -> boost::asio::awaitable<void>;
    auto watchOnce(KindWatch& kindWatch) -> boost::asio::awaitable<std::optional<StoreError>>;
    /// @param isPeerTriggered whether the list is read because a peer has reported a change.
    auto readList(KindWatch& kindWatch, bool isPeerTriggered) -> boost::asio::awaitable<std::optional<StoreError>>;
    /// @return whether the updates of the zone's watchers replace this instance's own watch.
    auto reliesOnWatchers(const KindWatch& kindWatch) const -> bool;
    /// Applies changes from a watch or an update if they continue the known state without a gap.
    /// @return whether they were applied.
    auto applyChanges(KindWatch& kindWatch, const KindChanges& changes) -> bool;
    /// Reads the list of a kind once.
    auto startRead(const KindWatchPointer& kindWatch) -> void;
    /// Reads the list of a kind after a delay, unless the changes up to a revision arrive before.
    auto readIfBehind(KindWatchPointer kindWatch, Duration delay) -> boost::asio::awaitable<void>;
    /// Schedules a read of the list, unless the reported changes arrive before. A read that is scheduled already covers
    /// later reports.
    auto scheduleRead(const KindWatchPointer& kindWatch, std::int64_t revision, Duration delay) -> void;
    /// Handles the end of a read that peers' reports have caused. A report that the list does not reach is wrong, because
    /// the list was requested after it.
    auto checkReport(KindWatch& kindWatch, std::int64_t reported) -> void;
    /// @return whether the revisions of an update fit together and the store can have reached them.
    auto isPlausible(const KindChanges& changes) const -> bool;
    /// @return the revisions up to which changes have been applied, in the order of the kinds.
    auto appliedRevisions() const -> std::vector<std::int64_t>;
    /// Reads the lists again of kinds whose revision only a peer's update can have set, because it is greater than the
    /// store's answer to a later call.
    /// @param before revisions of the kinds when the call was made.
    auto refuteRevisions(std::span<const std::int64_t> before, std::int64_t answered) -> void;
    /// Handles the revision in an answer of the store. The first one of a newer history brings all kinds up to date,
    /// here and at the peers.
    auto handleStoreAnswer(std::int64_t revision) -> void;
    /// @return the delay before a list is read after a restore.
    static auto restoreReadDelay() -> Duration;
    /// Reads the lists of all kinds whose state belongs to an earlier history.
    auto readListsOfHistory(std::int64_t history) -> void;
    /// @return whether the store is known to have begun a later history.
    auto isFromEndedHistory(std::int64_t revision) const -> bool;
    /// Runs the watcher election, and announces this instance to the zone while it is a watcher.
    auto runElection() -> boost::asio::awaitable<void>;
    /// @return whether this instance is a watcher with connected watches.
    auto isServingZone() const -> bool;
    auto publishToZone(std::optional<KindChanges> changes) -> void;
    auto logUnreadable(const std::string& kind, std::size_t count, std::span<const std::string> names) -> void;
    /// Records that a list or changes have been applied, and logs if they begin another history.
    auto recordApplied(KindWatch& kindWatch, std::int64_t revision) -> void;
    auto updateConnectionState(KindWatch& kindWatch, const std::optional<StoreError>& error) -> void;
    auto announceInstance() -> boost::asio::awaitable<void>;
    /// Writes the record of this instance.
    /// @return whether it was written.
    auto writeRecord() -> boost::asio::awaitable<bool>;
    /// Writes the record that a restore of the store may have lost.
    auto rewriteRecord() -> boost::asio::awaitable<void>;
    auto countInstances() -> boost::asio::awaitable<void>;
    /// @return whether the number of live instances has changed.
    auto updateInstanceCount(TimePoint now) -> bool;
    auto expireBackends() -> boost::asio::awaitable<void>;
    /// Reads the list of backend servers if a restored store has listed a removed one for so long that it must live.
    auto confirmUnlapsedEntries() -> void;

    auto updateConfiguration(const StoredItem& item) -> void;
    auto replaceBackends(const ItemList& list) -> void;
    auto updateBackend(const ItemChange& change) -> void;
    auto replaceBlockedParts(const ItemList& list) -> void;
    /// Waits until the blocked prompt parts have been read, or for a limited time after the start, so that an instance
    /// that starts sends nothing that is blocked.
    auto awaitBlockedParts() -> boost::asio::awaitable<void>;
    /// @param value null if the service has no list any more.
    auto updateBlockedParts(const std::string& service, const boost::json::value& value) -> void;
    /// Keeps the known blocked parts over a restore of the store, until its lists contain them again.
    auto keepBlockedParts() -> void;
    /// @return the parts of a list with those that are kept.
    auto withKeptParts(const std::string& service, std::vector<ListedPart> listed) -> std::vector<ListedPart>;
    auto publishBackends() -> void;
    /// Logs that an outdated entry of a known backend server was ignored.
    auto logOutdated(const std::string& backend) -> void;
    auto logBackendChanges(const std::vector<BackendServer>& next) -> void;

    IoThreads& m_threads;
    ObjectStore& m_store;
    const DirectoryFormat m_format;
    const DirectorySettings m_settings;
    EventLog& m_log;
    const DirectoryCallbacks m_callbacks;
    std::vector<KindWatchPointer> m_kindWatches;
    std::int64_t m_version = 0;
    /// Greatest history that the store has named; nothing until its first answer.
    std::optional<std::int64_t> m_history;
    /// Greatest revision in the store's answers.
    std::int64_t m_storeRevision = 0;
    /// Greatest history that a peer has reported and that no list has refuted.
    std::int64_t m_reportedHistory = 0;
    BackendDirectory m_directory;
    KindWatchPointer m_backendWatch;
    /// When unlapsed entries may be confirmed by the next list.
    TimePoint m_nextConfirmation {};
    std::vector<BackendServer> m_published;
    std::uint64_t m_leavingByAnswer = 0;
    TimePoint m_startedAt {};
    /// Whether the blocked prompt parts have been read since the start.
    bool m_hasBlockedParts = false;
    /// Services with a list of blocked prompt parts.
    std::set<std::string> m_blockedPartsServices;
    /// Blocked prompt parts that apply, by service.
    std::map<std::string, std::vector<ListedPart>> m_blockedParts;
    /// Blocked prompt parts from before a restore that the store's lists have not shown since, by service.
    std::map<std::string, std::vector<ListedPart>> m_keptParts;
    TimePoint m_keptPartsExpireAt {};
    /// Number of records that this instance has written.
    std::int64_t m_heartbeat = 0;
    InstanceCount m_instances;
    /// The number of live instances that was last published, or 0 before the first list. Without a list it
    /// does not fall, because instances that this one can't see may still be running.
    std::uint32_t m_liveInstances = 0;
    std::vector<std::string> m_instanceNames;
    WatcherElection m_election;
};

}
