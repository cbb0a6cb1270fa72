#pragma once

/// Keeps an entry instance's view of the platform's store: the configuration in force, the backend
/// servers and the number of live instances. Lists are read once and then watched; while the store is
/// away, what is known stays in use.

#include "BackendDirectory.h"
#include "Configuration.h"
#include "DirectoryUpdate.h"
#include "EventLog.h"
#include "InstanceCount.h"
#include "IoThreads.h"
#include "ObjectStore.h"
#include "WatcherElection.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jayhold {

/// Where the store keeps what the directory reads, and how it is read.
struct DirectoryFormat {
    std::string configurationKind;
    std::string configurationName;
    std::string backendKind;
    std::string instanceKind;
    std::string leaseKind;
    /// @return nothing where the object is not a configuration.
    std::function<std::optional<Configuration>(const StoredItem&)> readConfiguration;
    /// @return nothing where the object names no backend server.
    std::function<std::optional<BackendServer>(const StoredItem&)> readBackend;
};

struct DirectorySettings {
    std::string instance;
    std::string availabilityZone;
    /// Where other instances reach this one.
    std::optional<HttpEndpoint> peerEndpoint;
    /// Time within which a change has to take effect here.
    Duration maxPropagationDelay = std::chrono::seconds(2);
};

struct DirectoryCallbacks {
    std::function<void(Configuration)> configuration;
    std::function<void(std::vector<BackendServer>)> backends;
    /// Gets the number of live instances, this one included, and the addresses of those that gave one.
    std::function<void(std::uint32_t, std::vector<PeerAddress>)> instances;
    /// The store has begun to fail, or answers again.
    std::function<void(std::optional<TimePoint>)> onStoreAvailability = [](std::optional<TimePoint>) {};
    /// A change of a followed kind has been taken, from the list or a watch, up to this revision.
    std::function<void(const std::string& kind, std::int64_t revision)> changed = [](const std::string&, std::int64_t) {};
    /// Tells the other instances of the zone; absent where there is no way to do so.
    std::function<void(const DirectoryUpdate&)> publishToZone;
};

class StoreDirectory : public std::enable_shared_from_this<StoreDirectory> {
public:
    StoreDirectory(IoThreads& threads, ObjectStore& store, DirectoryFormat format, DirectorySettings settings, EventLog& log, DirectoryCallbacks callbacks);

    /// Starts the coroutines, which all run on the first I/O thread.
    auto start() -> void;

    /// What the directory knows, for metrics; must be called on the first I/O thread.
    struct Summary {
        std::int64_t configurationVersion = 0;
        std::size_t backends = 0;
        std::uint32_t instances = 1;
        /// Since when the store fails, absent while it answers.
        std::optional<TimePoint> storeUnavailableSince;
    };
    auto summary() const -> Summary;

    /// Another instance has taken a change of a kind up to a revision; where this one does not soon, it
    /// reads the list anew. Must be called on the first I/O thread.
    auto handlePeerRevision(const std::string& kind, std::int64_t revision) -> void;

    /// Takes what another instance of the zone tells. Must be called on the first I/O thread.
    auto handleDirectoryUpdate(const DirectoryUpdate& news) -> void;

private:
    /// Reads a kind and then its changes, for ever.
    struct KindWatch {
        std::string kind;
        /// Takes the whole list.
        std::function<void(const ItemList&)> take;
        std::function<void(const ItemChange&)> change;
        /// Where the next watch begins; 0 where the list has to be read.
        std::int64_t revision = 0;
        /// Revision of the last change that is known; after a list, that of the list, which may lack the
        /// last object that was deleted.
        std::int64_t lastChange = 0;
        bool isConnected = false;
        /// Whether it waits to see if the change that a peer told of comes with the news of the zone.
        bool isListPending = false;
    };
    using KindWatchPointer = std::shared_ptr<KindWatch>;

    auto runKindWatch(KindWatchPointer kindWatch) -> boost::asio::awaitable<void>;
    auto watchOnce(KindWatch& kindWatch) -> boost::asio::awaitable<std::optional<StoreError>>;
    /// @param isToldByPeer whether the list is read because a peer has told of a change.
    auto readList(KindWatch& kindWatch, bool isToldByPeer) -> boost::asio::awaitable<std::optional<StoreError>>;
    /// @return whether the follower relies on what other instances of the zone tell.
    auto reliesOnWatchers(const KindWatch& kindWatch) const -> bool;
    /// Takes changes that follow on what is known, whoever brings them.
    /// @return whether they did.
    auto applyChanges(KindWatch& kindWatch, const KindChanges& changes) -> bool;
    auto readIfBehind(KindWatchPointer kindWatch, std::int64_t revision) -> boost::asio::awaitable<void>;
    /// Keeps up the duty to watch, and tells the zone of it.
    auto runElection() -> boost::asio::awaitable<void>;
    auto publishToZone(std::optional<KindChanges> changes) -> void;
    auto logUnreadable(const std::string& kind, std::size_t count) -> void;
    auto updateConnectionState(KindWatch& kindWatch, const std::optional<StoreError>& error) -> void;
    auto announceInstance() -> boost::asio::awaitable<void>;
    auto countInstances() -> boost::asio::awaitable<void>;
    auto expireBackends() -> boost::asio::awaitable<void>;

    auto updateConfiguration(const StoredItem& item) -> void;
    auto replaceBackends(const ItemList& list) -> void;
    auto updateBackend(const ItemChange& change) -> void;
    auto publishBackends() -> void;
    auto logBackendChanges(const std::vector<BackendServer>& next) -> void;

    IoThreads& m_threads;
    ObjectStore& m_store;
    const DirectoryFormat m_format;
    const DirectorySettings m_settings;
    EventLog& m_log;
    const DirectoryCallbacks m_callbacks;
    std::vector<KindWatchPointer> m_kindWatches;
    std::int64_t m_version = 0;
    BackendDirectory m_directory;
    std::vector<BackendServer> m_published;
    InstanceCount m_instances;
    WatcherElection m_election;
};

}
