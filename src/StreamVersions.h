#pragma once

/// The software versions of streams at one entry instance: records new streams in the platform's store where that is
/// needed, changes the states of the services there, and finds the version of a stream that a caller takes up. Drives
/// StreamVersionView and StreamRecordTable.

#include "EventLog.h"
#include "IoThreads.h"
#include "ListedVersions.h"
#include "ObjectStore.h"
#include "PeerInquiry.h"
#include "PeerQuestion.h"
#include "StreamTakeUp.h"
#include "StreamVersionCounts.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayhold {

struct StreamVersionsCallbacks {
    /// The state of a service has been written with the given revision. Called on the first I/O thread.
    std::function<void(std::int64_t revision)> written = [](std::int64_t) {};
    /// @return whether this instance changes states first. Called on the first I/O thread.
    std::function<bool()> isFirst = [] { return true; };
    /// Asks all peers which changes they know. Called on the first I/O thread.
    std::function<void(std::uint64_t number)> askPeers = [](std::uint64_t) {};
};

class StreamVersions : public std::enable_shared_from_this<StreamVersions> {
public:
    /// @param kind kind of the store objects: one for each service and one for each instance.
    /// @param instance name of this instance, which its next process has too.
    StreamVersions(IoThreads& threads, ObjectStore& store, std::string kind, std::string instance, EventLog& log, StreamVersionsCallbacks callbacks);

    /// Starts the coroutines on the first I/O thread.
    auto start() -> void;

    /// @return whether the store has been read. Until then no stream must begin or go on. Thread-safe.
    auto isReady() const -> bool { return m_isReady; }

    /// Replaces the time within which the streams of each service may be taken up, by name of the service. Thread-safe.
    auto updateLifetimes(const std::map<std::string, Duration>& lifetimes) -> void;
    /// Replaces the versions of the listed servers, by name of the service. A service has no versions as long as its
    /// servers name none. Must be called before a stream can begin at a server that is new. Thread-safe.
    auto updateListed(const std::map<std::string, ListedVersions>& versions) -> void;
    auto updateAvailability(bool isAvailable) -> void;
    /// Records that changes of a kind of the store's objects have been applied here. Thread-safe.
    /// @param isServers whether the objects are the entries of the backend servers.
    auto handleApplied(bool isServers, std::int64_t revision) -> void;
    /// Handles the report that a peer has applied changes of a kind. Thread-safe.
    auto handlePeerRevision(const std::string& kind, bool isServers, std::int64_t revision) -> void;

    /// Replaces the names of the live instances, including this one. Thread-safe.
    auto updateInstances(std::vector<std::string> instances) -> void;
    /// Handles a peer's reply to askPeers().
    /// @param serversRevision revision up to which the peer has applied changes of the backend servers. Thread-safe.
    auto handleReply(std::uint64_t number, const std::string& instance, std::int64_t serversRevision) -> void;

    /// Starts to record a new stream that will probably begin at a version, if it needs a record. Thread-safe.
    auto announce(const std::string& service, const std::string& request, const std::string& version) -> void;
    /// Waits until the first event of a new stream may be sent to the caller. May run on any executor, and can be
    /// cancelled.
    /// @param version version of the server that has sent the event.
    /// @return whether it may be sent; false if the wait was cancelled.
    auto waitForRecord(std::string service, std::string request, std::string version) -> boost::asio::awaitable<bool>;

    /// Records that the caller has the first event of a new stream. Thread-safe.
    auto handleFirstEvent(const std::string& request) -> void;

    /// Finds the version of a stream that a caller takes up. May run on any executor.
    /// @param resumed id of the request that brought the first event; empty if the caller does not name it.
    /// @return nothing if the service has no versions, so that the stream may go on anywhere.
    auto find(std::string service, std::string resumed) -> boost::asio::awaitable<std::optional<StreamVersionAnswer>>;

    /// @return the version at which new streams have to be placed, because the store is away and those at other listed
    /// versions can't be recorded. Thread-safe.
    auto versionWithoutStore(const std::string& service) const -> std::optional<std::string>;

    auto counts() const -> StreamVersionCounts;

private:
    /// The version of a stream that this instance knows.
    struct Known {
        std::string service;
        StreamVersionAnswer answer;
        TimePoint expiresAt {};
    };
    /// The result of the list that was read last.
    struct ListResult {
        /// Number of the list, counted from 1.
        std::uint64_t number = 0;
        std::shared_ptr<const StreamVersionList> list;
    };

    // Members with the suffix Locked require the lock. A key is the result of streamRecordKey().
    /// @return what is known of the service, or null if its servers have no versions.
    auto viewOfVersionLocked(const std::string& service, const std::string& version) -> StreamVersionView*;
    auto viewOfLocked(const std::string& service) -> StreamVersionView&;
    auto updateHistoryLocked(std::int64_t revision) -> void;
    auto rememberLocked(const std::string& service, const std::string& key, const StreamVersionAnswer& answer) -> void;
    auto addRecordLocked(const StreamVersionView& view, const std::string& service, const std::string& key, const std::string& version) -> std::uint64_t;
    /// @param waitedFor time since the event arrived.
    /// @return whether the first event may be sent.
    auto maySendLocked(const std::string& service, const std::string& key, const std::string& version, Duration waitedFor) -> bool;
    auto knownLocked(const std::string& service, const std::string& key) const -> std::optional<StreamVersionAnswer>;
    /// Compares the known revision with those that peers have reported.
    auto updateBehindLocked() -> void;
    /// @param reported revision that peers had reported before the list was requested.
    auto applyListLocked(const StreamVersionList& list, std::int64_t reported) -> void;
    auto logAnswer(const std::string& service, const std::string& resumed, const StreamVersionAnswer& answer) -> void;

    auto load() -> boost::asio::awaitable<void>;
    auto checkPeriodically() -> boost::asio::awaitable<void>;
    /// Reads lists until none is wanted any more. Only one runs at a time.
    auto readLists() -> boost::asio::awaitable<void>;
    auto readListOnce() -> boost::asio::awaitable<std::optional<StoreError>>;
    /// Asks the peers, if a take-up waits for that and they were not asked just before.
    auto askPeers() -> void;
    /// @param inquiry number of the first inquiry that counts for the take-up; 0 if it has not been chosen yet.
    /// @return what is known of a stream without a list from the store.
    auto findWithoutStoreLocked(const StreamVersionView& view, std::uint64_t& inquiry) -> StreamVersionAnswer;
    /// Starts readLists() and writeRecords() if they have to run. Thread-safe.
    auto wake() -> void;
    auto runWork() -> void;
    auto writeRecords() -> boost::asio::awaitable<void>;
    /// @return the time after which to try again, if the store still lacks a change.
    auto writeRecordsOnce() -> boost::asio::awaitable<Duration>;
    /// Reads the stored records, to which the next write adds.
    auto readRecords() -> boost::asio::awaitable<std::optional<StoreError>>;
    /// Starts the writes of states that are due.
    auto startDueWrites(TimePoint now) -> void;
    auto writeState(std::string service) -> boost::asio::awaitable<void>;
    auto writeStateOnce(const std::string& service) -> boost::asio::awaitable<void>;
    /// Records the object of a service.
    /// @return the state that has to replace it, or nothing.
    auto adoptState(const std::string& service, const StoredObject& stored) -> std::optional<StreamVersionState>;
    auto logState(const std::string& service, const StreamVersionState& state, std::string_view reason) -> void;
    auto logFailure(std::string_view what, const StoreError& error) -> Duration;

    IoThreads& m_threads;
    ObjectStore& m_store;
    const std::string m_kind;
    const std::string m_instance;
    EventLog& m_log;
    const StreamVersionsCallbacks m_callbacks;
    std::atomic<bool> m_isReady { false };

    // Used on the first I/O thread only.
    bool m_isReadingLists = false;
    bool m_isWritingRecords = false;
    /// When this instance changes the state of a service, by name, and services whose state is being written.
    std::map<std::string, TimePoint> m_dueAt;
    std::set<std::string> m_writingStates;
    /// When a list may be read again because peers know a change.
    TimePoint m_nextPeerRead {};
    TimePoint m_lastListAt {};

    mutable std::mutex m_lock;
    std::map<std::string, StreamVersionView> m_views;
    std::map<std::string, Duration> m_lifetimes;
    /// Services that have servers, none of which has ever named a version.
    std::set<std::string> m_unversioned;
    /// Versions at which new streams of a service can begin.
    std::map<std::string, std::set<std::string>> m_serving;
    StreamRecordTable m_table;
    /// Whether the revision of the stored records has to be read before they are written.
    bool m_mustReadRecords = false;
    /// By the key of the stream.
    std::map<std::string, Known> m_known;
    std::int64_t m_history = 0;
    bool m_isAvailable = true;
    TimePoint m_availableSince {};
    /// Whether the last write of the records failed.
    bool m_hasWriteFailed = false;
    std::int64_t m_serversApplied = 0;
    std::int64_t m_serversReported = 0;
    /// Revision of the newest list or own write, and the greatest one that peers have reported.
    std::int64_t m_revision = 0;
    std::int64_t m_reportedRevision = 0;
    /// A reported revision that a later list has not reached, so that the report was wrong.
    std::int64_t m_refutedRevision = 0;
    std::uint64_t m_listsStarted = 0;
    std::uint64_t m_listsWanted = 0;
    ListResult m_listResult;
    /// Names of the other instances, and whether they are known.
    std::vector<std::string> m_peers;
    bool m_knowsPeers = false;
    PeerInquiry m_inquiry;
    std::uint64_t m_inquiriesWanted = 0;
    TimePoint m_askedAt {};
    StreamVersionCounts m_counts;
};

}
