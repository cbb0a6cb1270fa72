#include "Callers.h"

namespace jayhold::bench {

namespace {

auto milliseconds(Duration duration) -> float
{
    return static_cast<float>(duration.count()) / 1'000;
}

}

Callers::Callers(EventQueue& events, const Workload& workload, const Faults& faults, std::span<const CallerRequest> requests, Metrics& metrics, std::function<void(std::size_t)> send)
    : m_events(events)
    , m_workload(workload)
    , m_faults(faults)
    , m_requests(requests)
    , m_metrics(metrics)
    , m_send(std::move(send))
    , m_states(requests.size())
    , m_pendingCount(requests.size())
{
    m_metrics.kinds.resize(workload.kinds.size());
}

auto Callers::start() -> void
{
    arriveNext(0);
}

auto Callers::arriveNext(std::size_t caller) -> void
{
    if (caller >= m_requests.size())
        return;
    m_events.at(m_requests[caller].arrival, [this, caller] {
        m_send(caller);
        arriveNext(caller + 1);
    });
}

auto Callers::close(State& state) -> void
{
    if (state.closed) {
        ++m_metrics.answeredTwice;
        return;
    }
    state.closed = true;
    --m_pendingCount;
}

auto Callers::token(std::size_t caller, std::uint32_t index) -> void
{
    auto& state = m_states[caller];
    const auto& request = m_requests[caller];
    if (index != state.tokens + 1)
        ++m_metrics.misplacedTokens;
    const auto now = m_events.now();
    auto& kind = m_metrics.kinds[static_cast<std::size_t>(request.kind)];
    if (state.tokens == 0) {
        state.firstToken = now;
        kind.firstTokens.push_back(milliseconds(now - request.arrival + 2 * m_workload.clientLatency));
    } else {
        kind.gaps.push_back(milliseconds(now - state.lastToken));
    }
    state.lastToken = now;
    state.tokens = index;
    if (index == request.outputTokens)
        close(state);
}

auto Callers::refused(std::size_t caller, const Refuse& refusal) -> void
{
    auto& state = m_states[caller];
    const bool willRetry = !state.closed && state.repeats < m_faults.callerRepeats && refusal.retryAfter > Duration::zero();
    if (!willRetry) {
        close(state);
        return;
    }
    ++state.repeats;
    ++m_metrics.callerRepeats;
    state.tokens = 0;
    m_events.after(refusal.retryAfter, [this, caller] {
        if (!m_states[caller].closed)
            m_send(caller);
    });
}

auto Callers::handleCancelled(std::size_t caller) -> void
{
    if (!m_states[caller].closed)
        close(m_states[caller]);
}

auto Callers::recordGoodput(const CallerRequest& request, const State& state) -> void
{
    auto& metrics = m_metrics.kinds[static_cast<std::size_t>(request.kind)];
    const auto& kind = m_workload.kinds[static_cast<std::size_t>(request.kind)].kind;
    ++metrics.offered;
    if (state.tokens != request.outputTokens)
        return;
    ++metrics.finished;
    const bool meetsFirstToken = state.firstToken - request.arrival + 2 * m_workload.clientLatency <= kind.firstToken;
    const bool meetsTokenGap = state.lastToken - state.firstToken <= kind.tokenGap * std::int64_t { request.outputTokens - 1 };
    metrics.good += meetsFirstToken && meetsTokenGap ? 1 : 0;
    metrics.lateFirstToken += !meetsFirstToken && meetsTokenGap ? 1 : 0;
    metrics.slowTokens += meetsFirstToken && !meetsTokenGap ? 1 : 0;
}

auto Callers::finish() -> void
{
    for (std::size_t caller = 0; caller < m_states.size(); ++caller) {
        if (!m_states[caller].closed)
            ++m_metrics.unanswered;
        if (m_requests[caller].countsForGoodput())
            recordGoodput(m_requests[caller], m_states[caller]);
    }
}

}
