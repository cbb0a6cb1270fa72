#pragma once

/// A model service at an entry instance: the shard with its lock, the open requests, and the mapping of
/// backend servers to replicas. Any thread may pass an event in; the resulting actions are delivered to
/// the requests that they concern.

#include "ActionReceiver.h"
#include "BackendPauses.h"
#include "BackendUsage.h"
#include "CallRates.h"
#include "ConfigurationIndex.h"
#include "CrashSuspect.h"
#include "DecisionEvent.h"
#include "EntryContext.h"
#include "ModelPlacement.h"
#include "ReplicaStatus.h"
#include "ServerReplacement.h"
#include "Shard.h"
#include "ShardSummary.h"
#include "SpeedReport.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace jayhold {

class ModelService : public std::enable_shared_from_this<ModelService> {
public:
    ModelService(EntryContext& context, const ConfigurationIndex& index, const Service& service);
    ~ModelService();
    ModelService(const ModelService&) = delete;
    auto operator=(const ModelService&) -> ModelService& = delete;

    /// Starts the timer that generates the shard's Tick events.
    auto start() -> void;
    /// Stops the timer; open requests continue.
    auto stop() -> void;
    /// Called when the service was removed from the configuration: refuses the requests that have not
    /// started, and stops the timer when the last request has ended.
    auto retire() -> void;

    auto name() const -> const std::string& { return m_name; }
    auto metrics() -> ServiceMetrics& { return *m_metrics; }

    auto updateConfiguration(const ConfigurationIndex& index, const Service& service) -> void;
    /// Replaces the list of backend servers; those of other services are ignored.
    /// @param pauses the known pauses of backend servers.
    auto updateBackends(std::span<const BackendServer> backends, const BackendPauses& pauses = {}) -> void;
    /// Sends no requests to a backend server before the end of its pause; ignored if the server is of another service.
    auto applyPause(const BackendServer& server, const BackendPause& pause) -> void;
    /// @return whether a backend server has asked for a pause that has not ended, so that no call may be sent to it.
    auto isPaused(ReplicaId replica) const -> bool;
    auto isPaused(std::string_view backend) const -> bool;
    /// Limits the calls to the backend servers. Those without a rate are not limited.
    auto updateRates(const CallRates& rates) -> void;
    /// @param instanceCount number of entry instances that place requests on the same replicas, including
    /// this one.
    auto updateInstanceCount(std::uint32_t instanceCount) -> void;

    /// @return the index of a kind among all kinds that the service has had; it stays the same when a new
    /// configuration reorders the kinds.
    auto kindId(std::string_view kind) const -> KindId;
    /// @return the identifier of a software version in the events of this service. The empty text is a version as well, that
    /// of servers whose version is unknown.
    auto versionId(std::string_view version) -> SoftwareVersionId;
    /// @return how long prefill engines keep their results.
    auto prefillResultTtl() const -> Duration;
    /// @return how long a slot may be reserved at a decode engine; zero if engines take no reservations.
    auto slotReservationTime() const -> Duration;
    /// @return the number of tokens in one event of a stream.
    auto tokensPerEvent() const -> std::uint32_t;

    /// @return how long engines take to change their role; zero if they cannot.
    auto roleChangeTime() const -> Duration;
    auto roleDemand() const -> RoleDemand;
    /// @return the live engines of a role that can be ordered to change it, the least needed first.
    auto roleChangeCandidates(PoolRole role) const -> std::vector<BackendServer>;
    /// Records that an engine was ordered to change its role: it gets no new work until the platform lists
    /// it with the new role, or the given time has passed.
    auto recordRoleChange(std::string_view backend, TimePoint until) -> void;

    /// Admits a request to the shard.
    /// @param arrived the request; its identifier is assigned here.
    auto open(RequestArrived arrived, const std::shared_ptr<ActionReceiver>& receiver) -> RequestId;
    /// Passes one event to the shard and carries out the resulting actions.
    auto handleEvent(const DecisionEvent& event) -> void;
    /// Ends the delivery of actions to a request, none of whose attempts may be active at an engine any
    /// more.
    auto close(RequestId request) -> void;

    /// Processes a load report of a replica.
    /// @param asOf time at which the report was requested.
    auto recordLoad(ReplicaId replica, EngineLoad load, TimePoint asOf) -> void;

    /// Processes a peer's report of a request that was in flight on a backend server that crashed; ignored
    /// if the backend server belongs to another service.
    auto handleCrashSuspect(const CrashSuspect& suspect) -> void;

    /// Processes a peer's report on the prompt of a request for this service.
    auto handlePromptReport(const PromptReport& report) -> void;

    auto replica(ReplicaId replica) const -> std::optional<ReplicaStatus>;
    auto replicas() const -> std::vector<ReplicaStatus>;
    /// @return whether the replica is known and not leaving.
    auto isLive(ReplicaId replica) const -> bool;
    /// @return whether this process of the backend server is known and not leaving.
    auto isLive(const BackendServer& server) const -> bool;
    auto summary() const -> ShardSummary;

    /// Explains where a request that arrives now would be placed. Nothing changes, except that the shard is copied.
    /// @param arrived its identifier and the version to which it is bound are assigned here.
    /// @param boundVersion software version to which the request is bound; nothing if it may begin at any.
    /// @return nothing while another explanation is in progress, or if the shard has too many open requests to be copied.
    auto explainPlacement(RequestArrived arrived, const std::optional<std::string>& boundVersion) const -> std::optional<ModelPlacement>;
    /// Takes a retry from the budget for a call to the replica that the shard has not started.
    /// @return false if the budget is exhausted, or the replica takes no further call now or is leaving.
    auto tryConsumeRetry(ReplicaId replica) -> bool;
    /// @return a copy of the retry budget's state.
    auto retryBudget() const -> RetryBudget;

    /// @return the capacity that this instance has reserved on each backend server.
    auto usage() const -> std::vector<BackendUsage>;
    /// Replaces the capacity that all peers have reserved; backend servers of other services are ignored.
    auto updatePeerUsage(std::span<const BackendUsage> usages) -> void;

    /// @return the speeds of backend servers that this instance has observed recently.
    auto observedSpeeds() const -> std::vector<SpeedReport>;
    /// Processes the speeds that another instance has observed; backend servers of other services are ignored.
    /// @param sender identifies the instance.
    auto handleSpeedReports(std::uint64_t sender, std::span<const SpeedReport> reports) -> void;
    /// @return how the expected speeds of the live engines differ.
    auto speedSummary() const -> SpeedSummary;

    /// @return the request id that identifies an attempt at the engines.
    auto engineRequestId(RequestId request, Attempt attempt) const -> std::string;
    /// @return whether the id names an attempt of an open request on this replica, for which the engine may
    /// hold memory.
    auto isActiveAttempt(ReplicaId replica, std::string_view engineRequestId) const -> bool;

private:
    struct RunningAttempt {
        ReplicaId replica;
        Attempt attempt;
    };
    /// The first and the last of consecutive attempts.
    struct AttemptRange {
        Attempt first;
        Attempt last;
    };
    static constexpr AttemptRange allAttempts { 0, std::numeric_limits<Attempt>::max() };
    struct OpenRequest {
        /// Not owned, because the request's timers must not outlive its I/O thread, while the service does.
        std::weak_ptr<ActionReceiver> receiver;
        /// Attempts that may be active at engines.
        std::vector<RunningAttempt> attempts;
    };
    struct Delivery {
        std::shared_ptr<ActionReceiver> receiver;
        DecisionAction action;
    };
    struct EngineCancel {
        HttpEndpoint endpoint;
        std::string requestId;
    };
    struct Outbox {
        std::vector<Delivery> deliveries;
        std::vector<EngineCancel> cancels;
        std::vector<std::uint64_t> signatures;
        std::vector<CrashSuspect> suspects;
        std::vector<PromptReport> promptReports;
        std::vector<UpdateBlockedPart> blockedParts;
        /// Backend servers that have served the first request after their pause.
        std::vector<BackendServer> returned;
        /// Backend servers whose processes have possibly ended.
        std::vector<BackendServer> checks;
    };
    struct Timer;

    /// Functions whose name ends in Locked require the lock.
    auto decideLocked(const DecisionEvent& event, Outbox& outbox) -> void;
    auto dispatchActionLocked(const DecisionAction& action, Outbox& outbox) -> void;
    auto addAttemptLocked(RequestId request, ReplicaId replica, Attempt attempt) -> void;
    /// Cancels attempts of a request at the engines: all, or those on one replica.
    /// @param attempts the others go on.
    auto cancelLocked(RequestId request, std::optional<ReplicaId> replica, Outbox& outbox, AttemptRange attempts = allAttempts) -> void;
    /// Cancels the attempts that an event ends and for which the shard issues no cancel action.
    auto cancelEndedLocked(const DecisionEvent& event, Outbox& outbox) -> void;
    /// @return the request and the attempt of an engine request id, if this service created the id in this
    /// run of the process.
    auto parseEngineRequestId(std::string_view engineRequestId) const -> std::optional<std::pair<RequestId, Attempt>>;
    auto reportReplicaLocked(const ReplicaStatus& status, Outbox& outbox) -> void;
    auto upsertReplicaLocked(const BackendServer& backend, const Pool& pool, const BackendPauses& pauses, Outbox& outbox) -> ReplicaId;
    /// Removes role changes that took too long, so that their engines get new work again.
    auto expireRoleChangesLocked(TimePoint now, Outbox& outbox) -> void;
    /// Removes a replica as soon as the requests that it runs have ended.
    auto endReplicaLocked(ReplicaStatus& status, Outbox& outbox) -> void;
    /// Removes a replica. One that is live has crashed, and what it runs is lost.
    auto removeReplicaLocked(ReplicaStatus& status, Outbox& outbox) -> void;
    auto isLiveLocked(ReplicaId replica) const -> bool;
    auto findPool(std::string_view name) const -> const Pool*;
    auto versionIdLocked(std::string_view version) -> SoftwareVersionId;

    auto send(Outbox outbox) -> void;
    /// Reports prompts and blocked parts to the peers.
    auto sendPromptReports(const Outbox& outbox) -> void;
    auto sendCancels(std::vector<EngineCancel> cancels) -> void;
    /// Reports to the shard that the process of a backend server has ended, if the server refuses connections.
    static auto checkProcess(std::shared_ptr<ModelService> service, std::size_t thread, BackendServer server) -> boost::asio::awaitable<void>;
    auto reportEndedLocked(const BackendServer& server, std::string_view evidence, Outbox& outbox) -> void;
    auto runTimer(std::shared_ptr<Timer> timer) -> boost::asio::awaitable<void>;
    auto rearmTimer() -> void;

    EntryContext& m_context;
    const std::string m_name;
    const std::string m_idPrefix;
    const std::shared_ptr<ServiceMetrics> m_metrics;

    /// Held while a copy of the shard exists, so that there is one at a time. Taken before the lock.
    mutable std::mutex m_explanationLock;
    mutable std::mutex m_lock;
    std::vector<Pool> m_pools;
    std::vector<std::string> m_zones;
    Duration m_prefillResultTtl;
    Duration m_roleChangeTime;
    Duration m_slotReservationTime;
    std::uint32_t m_tokensPerEvent;
    ShardSettings m_shardSettings;
    Shard m_shard;
    std::vector<DecisionAction> m_actions;
    std::uint64_t m_lastRequest = 0;
    std::uint32_t m_lastReplica = 0;
    std::map<std::string, SoftwareVersionId, std::less<>> m_versions { { "", unknownVersion } };
    std::mt19937_64 m_reportIds { std::random_device {}() };
    std::unordered_map<RequestId, OpenRequest> m_requests;
    std::unordered_map<ReplicaId, ReplicaStatus> m_replicas;
    std::unordered_map<std::string, ReplicaId> m_replicaIds;
    LostServers m_lostServers;
    /// Engines that are changing their role, and the time until which that is assumed.
    std::unordered_map<ReplicaId, TimePoint> m_roleChanges;
    std::optional<TimePoint> m_wakeAt;
    /// Owned by its coroutine, because it must not outlive its I/O thread.
    std::weak_ptr<Timer> m_timer;
    bool m_isRetired = false;
};

}
