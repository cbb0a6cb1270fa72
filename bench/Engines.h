#pragma once

/// All fake engines of a run, as the entry instances see them over the simulated network: calls, KV cache
/// transfers between engines, cancellations, crashes and restarts.

#include "DecodeEngine.h"
#include "FailureKind.h"
#include "Metrics.h"
#include "Network.h"
#include "PoolRole.h"
#include "PrefillEngine.h"

#include <memory>
#include <random>

namespace jayhold::bench {

/// Callbacks for events of the engines. EngineJob::instance identifies the entry instance that receives
/// the event.
struct EngineListener {
    std::function<void(const EngineJob&, std::uint32_t cachedTokens, TimePoint expiresAt)> prefillDone;
    std::function<void(const EngineJob&, FailureKind)> prefillFailed;
    std::function<void(const EngineJob&, std::uint32_t generated)> token;
    std::function<void(const EngineJob&, FailureKind)> decodeFailed;
    /// The engine process has ended or has been restarted.
    std::function<void(std::size_t engine, bool alive)> aliveChanged;
};

struct Engine {
    PoolRole role;
    ZoneId zone;
    bool alive = true;
    std::unique_ptr<PrefillEngine> prefill;
    std::unique_ptr<DecodeEngine> decode;
};

class Engines {
public:
    Engines(EventQueue& events, const Workload& workload, const Faults& faults, const Network& network, Metrics& metrics, std::uint64_t seed);

    auto setListener(EngineListener listener) -> void { m_listener = std::move(listener); }
    auto setInstanceZones(std::vector<ZoneId> zones) -> void { m_instanceZones = std::move(zones); }

    auto startPrefill(const EngineJob& job, ReplicaId replica) -> void;
    /// @param prefillAttempt the attempt that computed the KV cache.
    auto startDecode(const EngineJob& job, Attempt prefillAttempt, ReplicaId prefill, ReplicaId decode) -> void;
    auto cancel(std::size_t instance, RequestId request, ReplicaId replica) -> void;

    auto terminate(std::size_t engine) -> void;
    auto restart(std::size_t engine) -> void;
    /// Cancels all calls and stalls all transfers between the partitioned zone and the other zones.
    auto handlePartition(ZoneId zone) -> void;

    auto all() -> std::vector<Engine>& { return m_engines; }
    auto heldMemoryBlocks() const -> std::uint64_t;

private:
    struct Transfer {
        EngineJob job;
        Attempt prefillAttempt;
        std::size_t prefill;
        std::size_t decode;
        SharedLink::TransferId link;
    };

    auto addEngine(PoolRole role, ZoneId zone) -> void;
    auto makePrefillCallbacks(std::size_t engine) -> PrefillEngine::Callbacks;
    auto makeDecodeCallbacks(std::size_t engine) -> DecodeEngine::Callbacks;
    auto reachableFrom(std::size_t instance, std::size_t engine) const -> bool;
    auto delay(std::size_t instance, std::size_t engine) const -> Duration;
    auto acceptPrefill(const EngineJob& job, std::size_t engine) -> void;
    auto acceptDecode(const EngineJob& job, Attempt prefillAttempt, std::size_t prefill, std::size_t decode) -> void;
    auto beginTransfer(Transfer transfer) -> void;
    auto finishTransfer(RequestId request, Attempt attempt) -> void;
    auto abortTransfers(const std::function<bool(const Transfer&)>& isAffected, bool notifyInstance) -> void;
    auto applyCancel(RequestId request, std::size_t engine) -> void;
    auto failPrefill(const EngineJob& job, std::size_t engine, FailureKind failure) -> void;
    auto failDecode(const EngineJob& job, std::size_t engine, FailureKind failure) -> void;

    EventQueue& m_events;
    const Workload& m_workload;
    const Faults& m_faults;
    const Network& m_network;
    Metrics& m_metrics;
    EngineListener m_listener;
    std::vector<ZoneId> m_instanceZones;
    std::vector<Engine> m_engines;
    std::vector<Transfer> m_transfers;
    std::mt19937_64 m_random;
};

}
