#pragma once

/// Sends random events to a shard, as a driver with faults would, and checks the invariants of the
/// shard after each of them.

#include "ShardHarness.h"

#include <map>
#include <set>

namespace jayhold::test {

/// One random step: `what` chooses the event, and the other three numbers its details.
struct ModelStep {
    std::uint8_t what;
    std::uint8_t first;
    std::uint8_t second;
    std::uint8_t third;
};

class ShardModel {
public:
    /// @param instanceCount number of instances that place on the same replicas.
    /// @param reservesSlots whether decode engines are asked to reserve slots.
    ShardModel(std::uint32_t instanceCount, bool reservesSlots);
    auto play(const ModelStep& step) -> void;
    /// Lets all deadlines pass and checks that every request has its final result.
    auto finish() -> void;

private:
    struct KnownRequest {
        RequestArrived arrival;
        /// Whether the request has its one final result: finished, refused or cancelled.
        bool answered = false;
        std::optional<RefusalReason> refusedFor {};
        /// Tokens that the caller has been sent.
        std::uint32_t sent = 0;
        /// Whether the failure of the last attempt reported `sent` to the shard.
        bool sentReported = true;
        Attempt attempt = 0;
        /// Decode attempts that may have run.
        std::set<Attempt> mayHaveRun;
        /// Decode attempts that showed a sign of running.
        std::set<Attempt> running;
        /// The decode attempt whose tokens reach the caller.
        Attempt streaming = 0;
        /// The reservation for a replacement that is asked for, and the tokens sent when the shard asked for it.
        std::optional<ReserveReplacement> reserving;
        std::uint32_t sentWhenReserving = 0;
        /// The replica of the attempt that the driver keeps as the fallback.
        std::optional<ReplicaId> fallback;
    };

    using Requests = std::map<RequestId, KnownRequest>;

    auto nth(std::size_t index) -> Requests::iterator;
    auto deliver(const DecisionEvent& event) -> void;
    auto deliverToRequest(RequestId id, Attempt attempt, const DecisionEvent& event) -> void;
    auto arrive(const ModelStep& step) -> void;
    auto prefillEvent(const ModelStep& step) -> void;
    auto decodeEvent(const ModelStep& step) -> void;
    /// The driver gives the fallback up before it reports a token of the current attempt.
    auto dropFallback(const StartDecode& start) -> void;
    auto emitTokens(const StartDecode& start, std::uint8_t count, bool lost) -> void;
    auto finishDecode(const StartDecode& start) -> void;
    auto failDecode(const StartDecode& start, FailureKind failure) -> void;
    auto beSilent(const ModelStep& step) -> void;
    /// Reports the outcome of a reservation for a replacement, which may be outdated.
    auto replacementEvent(const ModelStep& step) -> void;
    /// Reports that an attempt has failed for which the driver has a fallback, or that the fallback has ended.
    auto fallbackEvent(const ModelStep& step) -> void;
    auto finishFallback(RequestId id) -> void;
    auto cancel(const ModelStep& step) -> void;
    auto changeReplica(const ModelStep& step) -> void;
    auto reportLoad(const ModelStep& step) -> void;

    auto checkActions() -> void;
    auto check(const StartPrefill& action) -> void;
    auto check(const StartDecode& action) -> void;
    auto check(const Refuse& action) -> void;
    auto check(const ReserveReplacement& action) -> void;
    auto check(const ReleaseReplacement& action) -> void;
    auto check(const CancelOnReplica& action) -> void;
    auto check(const ReturnToFallback& action) -> void;
    /// Checks that a new attempt takes the slot that was reserved for it, if it names one, and leaves none behind.
    auto checkSlot(KnownRequest& request, ReplacementNumber number, ReplicaId decode) -> void;
    auto checkLive(ReplicaId id, PoolRole role) -> void;
    auto checkReservations() -> void;
    /// Checks that the last event has had all of its effect: another pass at the same time changes nothing.
    auto checkSettled() -> void;
    auto unanswered() const -> std::size_t;

    const bool m_reservesSlots;
    ShardHarness m_harness;
    Requests m_requests;
    std::map<ReplicaId, ReplicaChanged> m_replicas;
    std::vector<StartPrefill> m_prefills;
    std::vector<StartDecode> m_decodes;
    std::vector<ReserveReplacement> m_reservations;
    /// The reservation whose slot is granted in the current step.
    ReplacementNumber m_granted = 0;
    std::uint64_t m_sequence = 0;
};

}
