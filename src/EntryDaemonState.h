#pragma once

/// The components of an entry instance; private to the implementation of EntryDaemon.

#include "AdminApi.h"
#include "CallerApi.h"
#include "ClusterRecords.h"
#include "EntryDaemon.h"
#include "HttpServer.h"
#include "LoopMonitor.h"
#include "LostOwners.h"
#include "ServiceTable.h"

#include <set>

namespace jayhold {

struct EntryDaemon::State {
    explicit State(EntrySettings entrySettings);
    ~State();
    State(const State&) = delete;
    auto operator=(const State&) -> State& = delete;

    auto bind() -> void;
    auto createComponents() -> void;
    auto startDraining() -> void;
    auto drain() -> boost::asio::awaitable<void>;
    auto awaitOpenRequests() -> boost::asio::awaitable<bool>;
    /// Periodically updates the number of instances and the names of the live members.
    auto watchMembers() -> boost::asio::awaitable<void>;
    auto shouldReclaimFor(std::string_view owner, std::string_view backend) -> bool;

    const EntrySettings settings;
    EventLog log;
    std::unique_ptr<IoThreads> threads;
    const LoopMonitor loopMonitor { *threads, [this](const LoopStall& stall) { log.record(LogLevel::Warning, "loop_stalled", describe(stall)); } };
    EntryContext context;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<ClusterNode> node;
    std::unique_ptr<ClusterRecords> records;
    std::unique_ptr<ServiceTable> services;
    std::unique_ptr<CallerApi> callerApi;
    std::unique_ptr<AdminApi> adminApi;
    LostOwners lostOwners;
    std::mutex memberLock;
    std::set<std::string, std::less<>> memberIds;
    std::atomic<bool> isInitialized { false };
    std::function<void(bool)> onDrainedCallback = [](bool) {};
};

}
