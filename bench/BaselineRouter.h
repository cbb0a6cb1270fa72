#pragma once

/// A router without admission control, queues or reservations. It dispatches each request immediately
/// and retries on another engine when one refuses or fails. The engine selection is a parameter.

#include "Arm.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace jayhold::bench {

struct BaselineReplica {
    PoolRole role;
    ReplicaId id;
    std::uint32_t ownOutstanding = 0;
    std::uint32_t reportedOutstanding = 0;
};

class BaselineRouter {
public:
    /// @return the index of the engine to use. The candidates are never empty.
    using SelectReplica = std::function<std::size_t(const std::vector<BaselineReplica*>& candidates, std::uint64_t turn)>;

    explicit BaselineRouter(SelectReplica selectReplica)
        : m_selectReplica(std::move(selectReplica))
    {
    }

    auto decide(TimePoint now, const DecisionEvent& event, std::vector<DecisionAction>& actions) -> void;

private:
    struct Request {
        Attempt attempt = 0;
        std::uint32_t emitted = 0;
        bool decoding = false;
        ReplicaId prefill {};
        ReplicaId decode {};
    };

    auto handle(const RequestArrived& event) -> void;
    auto handle(const PrefillDone& event) -> void;
    auto handle(const PrefillFailed& event) -> void;
    auto handle(const DecodeFailed& event) -> void;
    auto handle(const DecodeFinished& event) -> void;
    auto handle(const RequestCancelled& event) -> void;
    auto handle(const ReplicaChanged& event) -> void;
    auto handle(const ReplicaLoad& event) -> void;
    template <typename Other>
    auto handle(const Other&) -> void { }

    auto pick(PoolRole role) -> BaselineReplica*;
    auto start(RequestId id, Request& request) -> void;
    auto retryElsewhere(RequestId id) -> void;
    auto adjustOutstanding(ReplicaId replica, int change) -> void;
    auto findActive(RequestId id, Attempt attempt, bool decoding) -> Request*;

    SelectReplica m_selectReplica;
    std::map<ReplicaId, BaselineReplica> m_replicas;
    std::map<RequestId, Request> m_requests;
    std::uint64_t m_turns[2] = {};
    std::vector<DecisionAction>* m_actions = nullptr;
};

}
