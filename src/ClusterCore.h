#pragma once

/// What the drivers of a cluster node share: settings, the store adapter, the state machines
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

/// HTTP header with the secret that peers show each other.
inline constexpr std::string_view peerKeyHeader = "X-Jayhold-Peer";

/// Names of the platform's object and the peer routes.
inline constexpr std::string_view configurationObject = "configuration";
inline constexpr std::string_view peerRoutePrefix = "/internal/v1/";

struct ClusterCallbacks {
    std::function<void(std::shared_ptr<const Configuration>)> configuration;
    std::function<void(const std::vector<BackendServer>&)> backends;
    std::function<void(std::uint64_t)> signature;
    std::function<void(const CrashSuspect&)> suspect;
    std::function<void(const Member&)> memberLost;
};

struct ClusterCore : std::enable_shared_from_this<ClusterCore> {
    ClusterCore(IoThreads& ioThreads, ClusterSettings clusterSettings, EventLog& eventLog);

    IoThreads& threads;
    const ClusterSettings settings;
    EventLog& log;
    PlatformStore store;
    /// Set before start() and not changed after.
    ClusterCallbacks callbacks;
    /// Set when the node is destroyed; log and callbacks may not be used after.
    std::atomic<bool> isStopped { false };

    /// Guards all that follows.
    mutable std::mutex lock;
    Membership membership;
    VersionedCopy configurationCopy;
    VersionedCopy listCopy;
    std::shared_ptr<const Configuration> configuration;
    InstanceList list;
    RumorBuffer<std::uint64_t> signatures;
    RumorBuffer<CrashSuspect> suspects;
    RumorBuffer<std::string> leaving;
    /// Until when a report that a backend server is leaving holds.
    std::map<std::string, TimePoint> leavingUntil;
    /// The backend servers as last given to the callback.
    std::vector<BackendServer> backends;
    bool isDraining = false;
    /// Whether a round that does not wait for its turn is about to be sent.
    bool extraRoundDue = false;
};

using ClusterPointer = std::shared_ptr<ClusterCore>;

/// @return a request to a peer with the peer key and the hybrid time.
auto peerRequest(ClusterCore& core, std::string method, std::string target, std::string body) -> HttpRequest;

/// Runs a coroutine on the home thread, on which callbacks run one after another.
auto spawnOnFirstThread(const ClusterPointer& core, boost::asio::awaitable<void> task) -> void;

}
