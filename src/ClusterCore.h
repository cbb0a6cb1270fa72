#pragma once

/// State shared by the coroutines of a cluster node: settings, the store adapter, the state machines
/// under one lock, and the callbacks. Private to the cluster library.

#include "ClusterNode.h"
#include "Membership.h"
#include "Pause.h"
#include "PlatformStore.h"
#include "RumorBuffer.h"
#include "VersionedCopy.h"

#include <atomic>
#include <map>
#include <mutex>

namespace jayhold {

/// HTTP header that carries the secret shared by all peers.
inline constexpr std::string_view peerKeyHeader = "X-Jayhold-Peer";

/// Name of the platform's configuration object, and prefix of the peer routes.
inline constexpr std::string_view configurationObject = "configuration";
inline constexpr std::string_view peerRoutePrefix = "/internal/v1/";

struct ClusterCallbacks {
    std::function<void(std::shared_ptr<const Configuration>)> configuration;
    std::function<void(const std::vector<BackendServer>&)> backends;
    std::function<void(std::uint64_t)> signature;
    std::function<void(const CrashSuspect&)> suspect;
    std::function<void(const PromptReport&)> promptReport;
    std::function<void(const Member&)> memberLost;
};

struct ClusterCore : std::enable_shared_from_this<ClusterCore> {
    ClusterCore(IoThreads& ioThreads, ClusterSettings clusterSettings, EventLog& eventLog);

    IoThreads& threads;
    const ClusterSettings settings;
    EventLog& log;
    PlatformStore store;
    /// Set before start() and constant afterwards.
    ClusterCallbacks callbacks;
    /// Set when the node is destroyed. The log and the callbacks must not be used afterwards.
    std::atomic<bool> isStopped { false };

    /// Protects all members below.
    mutable std::mutex lock;
    Membership membership;
    VersionedCopy configurationCopy;
    VersionedCopy listCopy;
    std::shared_ptr<const Configuration> configuration;
    InstanceList list;
    RumorBuffer<std::uint64_t> signatures;
    RumorBuffer<CrashSuspect> suspects;
    RumorBuffer<PromptReport> promptReports;
    RumorBuffer<std::string> leaving;
    /// Expiry times of the reports that a backend server is leaving, by id.
    std::map<std::string, TimePoint> leavingUntil;
    /// The backend servers that were last passed to the callback.
    std::vector<BackendServer> backends;
    bool isDraining = false;
    /// Whether an additional gossip round outside the regular interval is scheduled.
    bool extraRoundDue = false;
};

using ClusterPointer = std::shared_ptr<ClusterCore>;

/// @return a request to a peer that carries the peer key and the hybrid time.
auto peerRequest(ClusterCore& core, std::string method, std::string target, std::string body) -> HttpRequest;

/// Starts a coroutine on the first I/O thread, which also runs all callbacks one at a time.
auto spawnOnFirstThread(const ClusterPointer& core, boost::asio::awaitable<void> task) -> void;

}
