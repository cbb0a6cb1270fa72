#pragma once

/// A model service at an entry instance: the shard with its lock, the open requests, and the
/// mapping of backend servers to replicas. Events go in from any thread; the actions that follow
/// are delivered to the requests they concern.

#include "ActionReceiver.h"
#include "BackendUsage.h"
#include "ConfigurationIndex.h"
#include "CrashSuspect.h"
#include "DecisionEvent.h"
#include "EntryContext.h"
#include "ReplicaStatus.h"
#include "Shard.h"
#include "ShardSummary.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <mutex>
#include <optional>
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

    /// Starts the timer behind the shard's Tick events.
    auto start() -> void;
    /// Ends the timer; open requests go on.
    auto stop() -> void;
    /// Refuses what has not started and ends the timer when the last request has ended, after the
    /// service was taken out of the configuration.
    auto retire() -> void;

    auto name() const -> const std::string& { return m_name; }
    auto metrics() -> ServiceMetrics& { return *m_metrics; }

    auto updateConfiguration(const ConfigurationIndex& index, const Service& service) -> void;
    /// Takes the whole list of backend servers; those of other services are ignored.
    auto updateBackends(std::span<const BackendServer> backends) -> void;
    /// @param sharing entry instances that place on the same replicas, this one included.
    auto updateInstanceCount(std::uint32_t instanceCount) -> void;

    /// @return the position of a kind among those that the service has had; it stays the same when a
    /// new configuration reorders the kinds.
    auto kindId(std::string_view kind) const -> KindId;
    /// @return how long prefill engines keep their results.
    auto prefillResultTtl() const -> Duration;
    /// @return how long decode engines may be asked to keep a seat; zero where they do not.
    auto slotReservationTime() const -> Duration;
    /// @return tokens that one event of a stream carries.
    auto tokensPerEvent() const -> std::uint32_t;

    /// @return how long engines take to change their role; zero where they don't.
    auto roleChangeTime() const -> Duration;
    auto roleDemand() const -> RoleDemand;
    /// @return the engines of a role that are best spared, the least needed first.
    auto roleChangeCandidates(PoolRole role) const -> std::vector<BackendServer>;
    /// An engine has been ordered to change its role: it gets no new work until the platform lists it
    /// with the new one, or the time has passed.
    auto recordRoleChange(std::string_view backend, TimePoint until) -> void;

    /// Admits a request to the shard.
    /// @param arrived the request; its identifier is assigned here.
    auto open(RequestArrived arrived, const std::shared_ptr<ActionReceiver>& receiver) -> RequestId;
    /// Feeds one event and carries out what follows from it.
    auto handleEvent(const DecisionEvent& event) -> void;
    /// Ends the delivery of actions; nothing of the request may be on an engine any more.
    auto close(RequestId request) -> void;

    /// Takes a load report of a replica.
    auto recordLoad(ReplicaId replica, EngineLoad load, TimePoint asOf) -> void;

    /// A peer had a request in flight on a backend server that crashed; other services ignore it.
    auto handleCrashSuspect(const CrashSuspect& suspect) -> void;

    auto replica(ReplicaId replica) const -> std::optional<ReplicaStatus>;
    auto replicas() const -> std::vector<ReplicaStatus>;
    auto summary() const -> ShardSummary;

    /// @return what this instance has reserved.
    auto usage() const -> std::vector<BackendUsage>;
    /// Takes what all other instances have reserved; backend servers of other services are ignored.
    auto updatePeerUsage(std::span<const BackendUsage> uses) -> void;

    /// @return the name under which an attempt is known at the engines.
    auto engineRequestId(RequestId request, Attempt attempt) const -> std::string;
    /// @return whether an engine may hold memory for this attempt of an open request.
    auto isActiveAttempt(ReplicaId replica, std::string_view engineRequestId) const -> bool;

private:
    struct RunningAttempt {
        ReplicaId replica;
        Attempt attempt;
    };
    struct OpenRequest {
        /// Not owned: the request's timers must not outlive its I/O thread, and the service does.
        std::weak_ptr<ActionReceiver> receiver;
        /// Attempts that engines may know of.
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
    };
    struct Timer;

    /// Called with the lock held.
    auto decideLocked(const DecisionEvent& event, Outbox& outbox) -> void;
    auto dispatchActionLocked(const DecisionAction& action, Outbox& outbox) -> void;
    auto addAttemptLocked(RequestId request, ReplicaId replica, Attempt attempt) -> void;
    /// Cancels attempts of a request at the engines: all, or those on one replica.
    auto cancelLocked(RequestId request, std::optional<ReplicaId> replica, Outbox& outbox) -> void;
    /// Cancels what an event ends and the shard does not name.
    auto cancelEndedLocked(const DecisionEvent& event, Outbox& outbox) -> void;
    /// @return request and attempt that an engine's name refers to, if it is one of this run of
    /// the process and of this service.
    auto parseEngineRequestId(std::string_view engineRequestId) const -> std::optional<std::pair<RequestId, Attempt>>;
    auto reportReplicaLocked(const ReplicaStatus& status, Outbox& outbox) -> void;
    auto upsertReplicaLocked(const BackendServer& backend, const Pool& pool, Outbox& outbox) -> ReplicaId;
    /// Takes back what is believed of role changes that took too long.
    auto expireRoleChangesLocked(TimePoint now, Outbox& outbox) -> void;
    auto removeReplicaLocked(ReplicaStatus& status, Outbox& outbox) -> void;
    auto findPool(std::string_view name) const -> const Pool*;

    auto send(Outbox outbox) -> void;
    auto sendCancels(std::vector<EngineCancel> cancels) -> void;
    auto runTimer(std::shared_ptr<Timer> timer) -> boost::asio::awaitable<void>;
    auto rearmTimer() -> void;

    EntryContext& m_context;
    const std::string m_name;
    const std::string m_idPrefix;
    const std::shared_ptr<ServiceMetrics> m_metrics;

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
    std::unordered_map<RequestId, OpenRequest> m_requests;
    std::unordered_map<ReplicaId, ReplicaStatus> m_replicas;
    std::unordered_map<std::string, ReplicaId> m_replicaIds;
    /// Engines that change their role, and until when that is believed.
    std::unordered_map<ReplicaId, TimePoint> m_roleChanges;
    std::optional<TimePoint> m_wakeAt;
    /// Owned by its coroutine, for the same reason.
    std::weak_ptr<Timer> m_timer;
    bool m_isRetired = false;
};

}
