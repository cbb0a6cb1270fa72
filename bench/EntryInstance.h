#pragma once

/// Simulates the part of an entry instance that the benchmark needs. Passes events to its router,
/// executes the resulting actions, and reports tokens and refusals to the callers.

#include "Arm.h"
#include "CallerRequest.h"
#include "Engines.h"

#include <unordered_map>

namespace jayhold::bench {

/// Callbacks to the callers and to the other entry instances.
struct CallerListener {
    /// @param caller index of the caller's request.
    /// @param index number of the token within the response, from 1.
    std::function<void(std::size_t caller, std::uint32_t index)> token;
    std::function<void(std::size_t caller, const Refuse&)> refused;
    std::function<void(std::uint64_t signature)> signatureReported;
    std::function<void(std::size_t instance, const ReportCrash&)> crashReported;
};

class EntryInstance {
public:
    struct Environment {
        EventQueue& events;
        Engines& engines;
        const Network& network;
        const Workload& workload;
        Metrics& metrics;
        const CallerListener& callers;
    };

    EntryInstance(std::size_t index, ZoneId zone, Router router, const Environment& environment);

    auto zone() const -> ZoneId { return m_zone; }
    auto arrive(RequestId id, std::size_t caller, const CallerRequest& request) -> void;
    auto cancel(RequestId id) -> void;
    /// Passes an event to the router and executes the resulting actions. Other classes use it for
    /// events that do not belong to a single request.
    auto handleEvent(const DecisionEvent& event) -> void;

    auto prefillDone(const EngineJob& job, std::uint32_t cachedTokens, TimePoint expiresAt) -> void;
    auto prefillFailed(const EngineJob& job, FailureKind failure) -> void;
    auto token(const EngineJob& job, std::uint32_t generated) -> void;
    auto decodeFailed(const EngineJob& job, FailureKind failure) -> void;
    /// Fails the calls to engines that have become unreachable.
    auto handlePartition() -> void;

    /// active() counts requests without a final response, queued() those of them that have not been
    /// sent to an engine.
    auto active() const -> std::size_t { return m_active.size(); }
    auto queued() const -> std::size_t;
    /// Number of requests that hold or will hold a slot of the decode engine.
    auto slotsUsed(std::size_t engine) const -> std::uint32_t;
    /// Memory blocks of the decode engine that those requests currently occupy.
    auto memoryBlocksUsed(std::size_t engine) const -> std::uint32_t;

private:
    enum class Stage {
        Queued,
        Prefilling,
        Decoding,
    };
    struct Active {
        std::size_t caller = 0;
        const CallerRequest* request = nullptr;
        Stage stage = Stage::Queued;
        Attempt attempt = 0;
        Attempt prefillAttempt = 0;
        ReplicaId prefill {};
        ReplicaId decode {};
        std::uint32_t emitted = 0;
        std::uint32_t resumedFrom = 0;
    };

    auto execute(const StartPrefill& action) -> void;
    auto execute(const StartDecode& action) -> void;
    auto execute(const Refuse& action) -> void;
    auto execute(const CancelOnReplica& action) -> void;
    auto execute(const ReturnToFallback& action) -> void;
    /// The engines of the bench take no reservations.
    auto execute(const ReserveReplacement&) -> void { }
    auto execute(const ReleaseReplacement&) -> void { }
    auto execute(const ReportCrashSignature& action) -> void;
    auto execute(const ReportCrash& action) -> void;
    // Engines of the bench do not crash together.
    auto execute(const CheckProcess&) -> void { }
    // Prompts of the bench have no parts.
    auto execute(const ReportCrashedPrompt&) -> void { }
    auto execute(const ReportHarmlessParts&) -> void { }
    auto execute(const CrashEvidenceDropped&) -> void { }
    auto execute(const UpdateBlockedPart&) -> void { }
    /// The engines of the bench ask for no pauses.
    auto execute(const ReplicaReturned&) -> void { }
    auto execute(const WakeAt& action) -> void;

    auto find(RequestId id) -> Active*;
    auto jobFor(RequestId id, const Active& active) const -> EngineJob;
    auto scheduleFirstTokenTimeout(RequestId id, Attempt attempt) -> void;
    auto recordUsedPrefill(const EngineJob& job, const Active& active) -> void;

    std::size_t m_index;
    ZoneId m_zone;
    Router m_router;
    Environment m_environment;
    std::unordered_map<RequestId, Active> m_active;
    std::uint64_t m_lastWakeId = 0;
};

}
