#include "ShardModel.h"

#include "ShardModelSteps.h"
#include "ShardState.h"

#include <rapidcheck.h>

#include <array>

namespace jayhold::test {

namespace {

constexpr std::uint32_t slots = 2;
constexpr std::uint32_t memoryBlocks = 6;
constexpr std::uint32_t prefillReplicas = 3;
constexpr std::uint32_t decodeReplicas = 4;

constexpr std::array failures {
    FailureKind::Busy,
    FailureKind::NotConnected,
    FailureKind::KvExpired,
    FailureKind::ConnectionLost,
    FailureKind::TimedOut,
    FailureKind::ServerError,
    FailureKind::Leaving,
};

auto isNotRun(FailureKind failure) -> bool
{
    return failure == FailureKind::Busy || failure == FailureKind::NotConnected
        || failure == FailureKind::KvExpired || failure == FailureKind::Leaving;
}

auto testReplica(std::uint32_t id) -> ReplicaChanged
{
    return {
        .replica = ReplicaId { id },
        .role = id < prefillReplicas ? PoolRole::Prefill : PoolRole::Decode,
        .zone = ZoneId { static_cast<std::uint16_t>(id % 2) },
        .state = ReplicaState::Live,
        .slots = slots,
        .memoryBlocks = memoryBlocks,
        .memoryBlockTokens = 2'000,
        .linkBytesPerSecond = 10'000'000'000,
    };
}

auto modelSettings(std::uint32_t instanceCount, bool reservesSlots) -> ShardSettings
{
    auto settings = testSettings();
    settings.reservesSlots = reservesSlots;
    settings.instanceCount = instanceCount;
    settings.kinds[1].repeatable = false;
    return settings;
}

}

ShardModel::ShardModel(std::uint32_t instanceCount, bool reservesSlots)
    : m_reservesSlots(reservesSlots)
    , m_harness(modelSettings(instanceCount, reservesSlots))
{
    for (std::uint32_t id = 0; id < prefillReplicas + decodeReplicas; ++id) {
        m_replicas[ReplicaId { id }] = testReplica(id);
        m_harness.send(testReplica(id));
    }
}

auto ShardModel::play(const ModelStep& step) -> void
{
    constexpr Duration smallStep = 3ms;
    constexpr Duration largeStep = 300ms;
    m_harness.now += step.first % 8 ? smallStep : largeStep * (step.third % 5);
    const auto what = step.what % 16;
    if (what < 4)
        arrive(step);
    else if (what < 7)
        prefillEvent(step);
    else if (what < 11)
        decodeEvent(step);
    else if (what == 11)
        cancel(step);
    else if (what == 12)
        changeReplica(step);
    else if (what == 13)
        reportLoad(step);
    else if (what == 14 && step.first % 2)
        beSilent(step);
    else if (what == 14 && step.first % 4)
        replacementEvent(step);
    else if (what == 14)
        fallbackEvent(step);
    else
        deliver(Tick {});
}

auto ShardModel::finish() -> void
{
    m_harness.now += 700s;
    deliver(Tick {});
    RC_ASSERT(unanswered() == 0U);
    const auto summary = summarize(m_harness.shard);
    RC_ASSERT(summary.queued + summary.prefilling + summary.decoding == 0U);
    RC_ASSERT(summary.reservedSlots == 0U);
    RC_ASSERT(summary.reservedMemoryBlocks == 0U);
}

auto ShardModel::deliver(const DecisionEvent& event) -> void
{
    m_harness.send(event);
    checkActions();
    checkReservations();
    checkSettled();
}

auto ShardModel::checkSettled() -> void
{
    const auto before = summarize(m_harness.shard);
    m_harness.send(Tick {});
    checkActions();
    RC_ASSERT(sameCounts(before, summarize(m_harness.shard)));
}

auto ShardModel::deliverToRequest(RequestId id, Attempt attempt, const DecisionEvent& event) -> void
{
    const auto& request = m_requests.at(id);
    if (!request.answered && request.attempt == attempt) {
        deliver(event);
        return;
    }
    // Timers that are due run on any event. They run first, so that only the effect of the event shows.
    deliver(Tick {});
    const auto before = summarize(m_harness.shard);
    deliver(event);
    RC_ASSERT(sameCounts(before, summarize(m_harness.shard)));
    RC_ASSERT(m_harness.count<WakeAt>() == m_harness.actions.size());
}

auto ShardModel::arrive(const ModelStep& step) -> void
{
    if (step.second % 8 == 0 && !m_requests.empty()) {
        deliver(nth(step.third)->second.arrival);
        return;
    }
    const RequestId id { m_requests.size() + 1 };
    const auto kind = static_cast<std::uint16_t>(step.first % 3);
    auto& request = m_requests[id];
    request.arrival = {
        .request = id,
        .kind = KindId { kind },
        .customer = CustomerId { step.third % 3U },
        .promptTokens = 100U + step.second * 40U,
        .maxTokens = 50U + step.third * 10U,
        .deadline = m_harness.now + (kind == 2 ? 600s : 60s),
        .prefixBlocks = { step.third % 4U, 100U + step.second % 8U },
        .signature = step.third,
    };
    deliver(request.arrival);
}

auto ShardModel::nth(std::size_t index) -> Requests::iterator
{
    return std::next(m_requests.begin(), static_cast<std::ptrdiff_t>(index % m_requests.size()));
}

auto ShardModel::prefillEvent(const ModelStep& step) -> void
{
    if (m_prefills.empty())
        return;
    const auto start = pick(m_prefills, step);
    const auto& request = m_requests.at(start.request);
    const auto hasFallback = request.fallback && !request.answered && request.attempt == start.attempt;
    if (step.first % 4 == 0 && hasFallback)
        return;
    if (step.first % 4 == 0)
        deliverToRequest(start.request, start.attempt, PrefillFailed { start.request, start.attempt, failures.at(step.third % failures.size()) });
    else
        deliverToRequest(start.request, start.attempt, PrefillDone { start.request, start.attempt, m_harness.now + 800ms, step.third });
}

auto ShardModel::decodeEvent(const ModelStep& step) -> void
{
    if (m_decodes.empty())
        return;
    const auto start = pick(m_decodes, step);
    switch (step.first % 6) {
    case 0:
        failDecode(start, failures.at(step.third % failures.size()));
        break;
    case 1:
        finishDecode(start);
        break;
    case 2:
    case 3:
        m_requests.at(start.request).running.insert(start.attempt);
        dropFallback(start);
        deliverToRequest(start.request, start.attempt, DecodeStarted { start.request, start.attempt });
        break;
    default:
        emitTokens(start, step.third, step.second % 3 == 0);
        break;
    }
}

auto ShardModel::emitTokens(const StartDecode& start, std::uint8_t count, bool lost) -> void
{
    auto& request = m_requests.at(start.request);
    if (request.answered || request.streaming != start.attempt) {
        deliverToRequest(start.request, start.attempt, TokensEmitted { start.request, start.attempt, request.sent - std::min<std::uint32_t>(request.sent, count) });
        return;
    }
    dropFallback(start);
    request.sent += count;
    if (lost)
        return;
    request.running.insert(start.attempt);
    deliverToRequest(start.request, start.attempt, TokensEmitted { start.request, start.attempt, request.sent });
}

auto ShardModel::finishDecode(const StartDecode& start) -> void
{
    auto& request = m_requests.at(start.request);
    // Timers that are due run first, so that only the effect of the event is counted.
    deliver(Tick {});
    const auto before = summarize(m_harness.shard).finished;
    m_harness.send(DecodeFinished { start.request, start.attempt, request.sent });
    const auto finished = summarize(m_harness.shard).finished - before;
    RC_ASSERT(finished <= (request.answered ? 0U : 1U));
    request.answered = request.answered || finished == 1;
    checkActions();
    checkReservations();
}

auto ShardModel::failDecode(const StartDecode& start, FailureKind failure) -> void
{
    auto& request = m_requests.at(start.request);
    const auto isCurrent = !request.answered && request.streaming == start.attempt && request.attempt == start.attempt;
    // With a fallback the failure is another event.
    if (isCurrent && request.fallback)
        return;
    if (isCurrent) {
        request.streaming = 0;
        request.sentReported = true;
        if (isNotRun(failure) && !request.running.contains(start.attempt))
            request.mayHaveRun.erase(start.attempt);
    }
    deliverToRequest(start.request, start.attempt, DecodeFailed { start.request, start.attempt, failure, request.sent });
}

auto ShardModel::cancel(const ModelStep& step) -> void
{
    if (m_requests.empty())
        return;
    auto& [id, request] = *nth(step.second * 256U + step.third);
    request.answered = true;
    deliver(RequestCancelled { id });
}

auto ShardModel::changeReplica(const ModelStep& step) -> void
{
    auto change = testReplica(step.second % (prefillReplicas + decodeReplicas));
    constexpr std::array states { ReplicaState::Live, ReplicaState::Live, ReplicaState::Leaving, ReplicaState::Gone };
    change.state = states.at(step.third % states.size());
    if (step.third / states.size() % 8 == 0)
        change.role = change.role == PoolRole::Prefill ? PoolRole::Decode : PoolRole::Prefill;
    m_replicas[change.replica] = change;
    deliver(change);
}

auto ShardModel::reportLoad(const ModelStep& step) -> void
{
    ReplicaLoad load {
        .replica = ReplicaId { step.second % (prefillReplicas + decodeReplicas) },
        .sequence = ++m_sequence,
        .asOf = m_harness.now - 100ms,
        .running = step.third % 3U,
        .waiting = 0,
        .freeMemoryBlocks = step.third % 7U,
        .held = {},
    };
    if (!m_requests.empty())
        load.held.push_back(nth(step.first)->first);
    deliver(load);
}

auto ShardModel::checkActions() -> void
{
    for (const auto& action : m_harness.actions) {
        if (const auto* prefill = std::get_if<StartPrefill>(&action))
            check(*prefill);
        else if (const auto* decode = std::get_if<StartDecode>(&action))
            check(*decode);
        else if (const auto* refusal = std::get_if<Refuse>(&action))
            check(*refusal);
        else if (const auto* reservation = std::get_if<ReserveReplacement>(&action))
            check(*reservation);
        else if (const auto* release = std::get_if<ReleaseReplacement>(&action))
            check(*release);
        else if (const auto* cancelled = std::get_if<CancelOnReplica>(&action))
            check(*cancelled);
        else if (const auto* fallback = std::get_if<ReturnToFallback>(&action))
            check(*fallback);
    }
}

auto ShardModel::check(const StartPrefill& action) -> void
{
    auto& request = m_requests.at(action.request);
    RC_ASSERT_FALSE(request.answered);
    RC_ASSERT(action.attempt > request.attempt);
    checkLive(action.prefill, PoolRole::Prefill);
    checkLive(action.decode, PoolRole::Decode);
    checkSlot(request, action.replacement, action.decode);
    if (request.streaming)
        request.sentReported = false;
    request.attempt = action.attempt;
    request.streaming = 0;
    m_prefills.push_back(action);
}

auto ShardModel::check(const StartDecode& action) -> void
{
    auto& request = m_requests.at(action.request);
    RC_ASSERT_FALSE(request.answered);
    RC_ASSERT(action.attempt >= request.attempt);
    checkLive(action.decode, PoolRole::Decode);
    if (action.attempt > request.attempt && !action.prefill)
        checkSlot(request, action.replacement, action.decode);
    RC_ASSERT(action.resumeFrom <= request.sent);
    if (request.sentReported)
        RC_ASSERT(action.resumeFrom == request.sent);
    // A request that may run only once is not started again after it may have run.
    if (request.arrival.kind == KindId { 1 })
        RC_ASSERT(request.mayHaveRun.empty());
    request.attempt = action.attempt;
    request.streaming = action.attempt;
    request.mayHaveRun.insert(action.attempt);
    m_decodes.push_back(action);
}

auto ShardModel::check(const Refuse& action) -> void
{
    auto& request = m_requests.at(action.request);
    RC_ASSERT_FALSE(request.answered);
    RC_ASSERT_FALSE(request.reserving);
    request.answered = true;
    request.refusedFor = action.reason;
    if (action.outcome == ExecutionOutcome::NotRun)
        RC_ASSERT(request.mayHaveRun.empty());
}

auto ShardModel::checkLive(ReplicaId id, PoolRole role) -> void
{
    RC_ASSERT(m_replicas.at(id).state == ReplicaState::Live);
    RC_ASSERT(m_replicas.at(id).role == role);
}

auto ShardModel::checkReservations() -> void
{
    const auto& state = *m_harness.shard.state;
    std::map<ReplicaId, Reservation> reservations;
    for (const auto& [id, request] : state.requests) {
        if (!request.prefillReserved.empty())
            reservations[*request.prefill].slots += request.prefillReserved.slots;
        if (!request.decodeReserved.empty()) {
            reservations[*request.decode].slots += request.decodeReserved.slots;
            reservations[*request.decode].memoryBlocks += request.decodeReserved.memoryBlocks;
        }
        if (!request.prefillReserved.empty())
            reservations[*request.prefill].memoryBlocks += request.prefillReserved.memoryBlocks;
    }
    for (const auto& [id, replacement] : state.replacements) {
        RC_ASSERT(state.requests.contains(id));
        reservations[replacement.decode].slots += replacement.reserved.slots;
        reservations[replacement.decode].memoryBlocks += replacement.reserved.memoryBlocks;
    }
    for (const auto& [id, replica] : state.replicas) {
        RC_ASSERT(replica.reserved.slots == reservations[id].slots);
        RC_ASSERT(replica.reserved.memoryBlocks == reservations[id].memoryBlocks);
        RC_ASSERT(replica.reserved.slots <= slots);
        RC_ASSERT(replica.reserved.memoryBlocks <= memoryBlocks);
    }
    RC_ASSERT(state.requests.size() == unanswered());
}

auto ShardModel::unanswered() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto& [id, request] : m_requests)
        count += !request.answered;
    return count;
}

}
