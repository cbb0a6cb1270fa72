#include "BaselineRouter.h"

#include <algorithm>
#include <memory>

namespace jayhold::bench {

namespace {

/// A request is refused after this many attempts.
constexpr Attempt maxAttempts = 6;
constexpr Duration retryAfter = std::chrono::seconds(1);

}

auto BaselineRouter::decide(TimePoint, const DecisionEvent& event, std::vector<DecisionAction>& actions) -> void
{
    m_actions = &actions;
    std::visit([this](const auto& alternative) { handle(alternative); }, event);
}

auto BaselineRouter::pick(PoolRole role) -> BaselineReplica*
{
    std::vector<BaselineReplica*> candidates;
    for (auto& [id, replica] : m_replicas) {
        if (replica.role == role)
            candidates.push_back(&replica);
    }
    if (candidates.empty())
        return nullptr;
    return candidates[m_selectReplica(candidates, m_turns[role == PoolRole::Prefill ? 0 : 1]++)];
}

auto BaselineRouter::adjustOutstanding(ReplicaId replica, int change) -> void
{
    if (const auto found = m_replicas.find(replica); found != m_replicas.end())
        found->second.ownOutstanding += change;
}

auto BaselineRouter::findActive(RequestId id, Attempt attempt, bool decoding) -> Request*
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.attempt != attempt || found->second.decoding != decoding)
        return nullptr;
    return &found->second;
}

auto BaselineRouter::start(RequestId id, Request& request) -> void
{
    const auto* prefill = pick(PoolRole::Prefill);
    const auto* decode = pick(PoolRole::Decode);
    if (!prefill || !decode || request.attempt >= maxAttempts) {
        const auto outcome = request.emitted ? ExecutionOutcome::Unknown : ExecutionOutcome::NotRun;
        m_actions->emplace_back(Refuse { id, RefusalReason::RetriesExhausted, outcome, retryAfter });
        m_requests.erase(id);
        return;
    }
    ++request.attempt;
    request.decoding = false;
    request.prefill = prefill->id;
    request.decode = decode->id;
    adjustOutstanding(request.prefill, 1);
    m_actions->emplace_back(StartPrefill { id, request.attempt, request.prefill, request.decode });
}

auto BaselineRouter::retryElsewhere(RequestId id) -> void
{
    auto& request = m_requests[id];
    adjustOutstanding(request.decoding ? request.decode : request.prefill, -1);
    m_actions->emplace_back(CancelOnReplica { id, request.prefill });
    if (request.decoding)
        m_actions->emplace_back(CancelOnReplica { id, request.decode });
    start(id, request);
}

auto BaselineRouter::handle(const RequestArrived& event) -> void
{
    start(event.request, m_requests[event.request]);
}

auto BaselineRouter::handle(const PrefillDone& event) -> void
{
    auto* request = findActive(event.request, event.attempt, false);
    if (!request)
        return;
    adjustOutstanding(request->prefill, -1);
    adjustOutstanding(request->decode, 1);
    request->decoding = true;
    m_actions->emplace_back(StartDecode { event.request, event.attempt, request->prefill, request->decode, request->emitted });
}

auto BaselineRouter::handle(const PrefillFailed& event) -> void
{
    if (findActive(event.request, event.attempt, false))
        retryElsewhere(event.request);
}

auto BaselineRouter::handle(const DecodeFailed& event) -> void
{
    auto* request = findActive(event.request, event.attempt, true);
    if (!request)
        return;
    request->emitted = event.emittedTokens;
    retryElsewhere(event.request);
}

auto BaselineRouter::handle(const DecodeFinished& event) -> void
{
    const auto* request = findActive(event.request, event.attempt, true);
    if (!request)
        return;
    adjustOutstanding(request->decode, -1);
    m_requests.erase(event.request);
}

auto BaselineRouter::handle(const RequestCancelled& event) -> void
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    const auto& request = found->second;
    adjustOutstanding(request.decoding ? request.decode : request.prefill, -1);
    m_actions->emplace_back(CancelOnReplica { event.request, request.prefill });
    m_actions->emplace_back(CancelOnReplica { event.request, request.decode });
    m_requests.erase(found);
}

auto BaselineRouter::handle(const ReplicaChanged& event) -> void
{
    if (event.state == ReplicaState::Live)
        m_replicas.try_emplace(event.replica, BaselineReplica { event.role, event.replica });
    else
        m_replicas.erase(event.replica);
}

auto BaselineRouter::handle(const ReplicaLoad& event) -> void
{
    if (const auto found = m_replicas.find(event.replica); found != m_replicas.end())
        found->second.reportedOutstanding = event.running + event.waiting;
}

auto roundRobinArm() -> Arm
{
    return { "round-robin", [](const ShardSettings&) -> Router {
                auto router = std::make_shared<BaselineRouter>([](const auto& candidates, std::uint64_t turn) { return turn % candidates.size(); });
                return [router](TimePoint now, const DecisionEvent& event, std::vector<DecisionAction>& actions) { router->decide(now, event, actions); };
            } };
}

auto leastOutstandingArm() -> Arm
{
    const auto selectReplica = [](const std::vector<BaselineReplica*>& candidates, std::uint64_t turn) {
        // Ties are broken in round-robin order.
        auto best = turn % candidates.size();
        for (std::size_t step = 1; step < candidates.size(); ++step) {
            const auto index = (turn + step) % candidates.size();
            if (std::max(candidates[index]->ownOutstanding, candidates[index]->reportedOutstanding) < std::max(candidates[best]->ownOutstanding, candidates[best]->reportedOutstanding))
                best = index;
        }
        return best;
    };
    return { "least-outstanding", [selectReplica](const ShardSettings&) -> Router {
                auto router = std::make_shared<BaselineRouter>(selectReplica);
                return [router](TimePoint now, const DecisionEvent& event, std::vector<DecisionAction>& actions) { router->decide(now, event, actions); };
            } };
}

}
