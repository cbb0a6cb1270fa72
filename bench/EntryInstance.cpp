#include "EntryInstance.h"

#include <algorithm>

namespace jayhold::bench {

namespace {

/// Number of tokens between two TokensEmitted events to the router.
constexpr std::uint32_t tokensPerReport = 16;
/// A decode without a first token after this time is cancelled, for routers without a timeout of their
/// own.
constexpr Duration firstTokenTimeout = std::chrono::seconds(12);
/// Time after which a network partition between the instance and an engine is detected.
constexpr Duration partitionDetectionTime = std::chrono::milliseconds(500);

}

EntryInstance::EntryInstance(std::size_t index, ZoneId zone, Router router, const Environment& environment)
    : m_index(index)
    , m_zone(zone)
    , m_router(std::move(router))
    , m_environment(environment)
{
}

auto EntryInstance::find(RequestId id) -> Active*
{
    const auto found = m_active.find(id);
    return found == m_active.end() ? nullptr : &found->second;
}

auto EntryInstance::queued() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_active, [](const auto& item) { return item.second.stage == Stage::Queued; }));
}

auto EntryInstance::slotsUsed(std::size_t engine) const -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::ranges::count_if(m_active, [&](const auto& item) {
        return item.second.stage != Stage::Queued && static_cast<std::size_t>(item.second.decode) == engine;
    }));
}

auto EntryInstance::memoryBlocksUsed(std::size_t engine) const -> std::uint32_t
{
    std::uint32_t memoryBlocks = 0;
    for (const auto& [id, active] : m_active) {
        if (active.stage != Stage::Queued && static_cast<std::size_t>(active.decode) == engine)
            memoryBlocks += memoryBlocksFor(m_environment.workload.engines, active.request->promptTokens + active.emitted + 1);
    }
    return memoryBlocks;
}

auto EntryInstance::arrive(RequestId id, std::size_t caller, const CallerRequest& request) -> void
{
    m_active[id] = { .caller = caller, .request = &request };
    const auto& kind = m_environment.workload.kinds[static_cast<std::size_t>(request.kind)].kind;
    handleEvent(RequestArrived {
        .request = id,
        .kind = request.kind,
        .customer = request.customer,
        .promptTokens = request.promptTokens,
        .maxTokens = request.maxTokens,
        .deadline = m_environment.events.now() + kind.deadline,
        .prefixBlocks = request.prefixBlocks,
        .signature = request.signature,
    });
}

auto EntryInstance::cancel(RequestId id) -> void
{
    if (m_active.erase(id))
        handleEvent(RequestCancelled { id });
}

auto EntryInstance::handleEvent(const DecisionEvent& event) -> void
{
    std::vector<DecisionAction> actions;
    m_router(m_environment.events.now(), event, actions);
    for (const auto& action : actions)
        std::visit([this](const auto& alternative) { execute(alternative); }, action);
}

auto EntryInstance::jobFor(RequestId id, const Active& active) const -> EngineJob
{
    const auto& request = *active.request;
    const auto& kind = m_environment.workload.kinds[static_cast<std::size_t>(request.kind)].kind;
    return {
        .request = id,
        .attempt = active.attempt,
        .instance = m_index,
        .priority = static_cast<int>(kind.latencyClass),
        .promptTokens = request.promptTokens + active.emitted,
        .outputTokens = request.outputTokens - active.emitted,
        .crashes = request.crashesEngines,
        .prefixBlocks = request.prefixBlocks,
    };
}

auto EntryInstance::execute(const StartPrefill& action) -> void
{
    auto* active = find(action.request);
    if (!active)
        return;
    active->stage = Stage::Prefilling;
    active->attempt = action.attempt;
    active->prefillAttempt = action.attempt;
    active->prefill = action.prefill;
    active->decode = action.decode;
    ++m_environment.metrics.attempts;
    if (action.attempt > 1)
        ++m_environment.metrics.retried;
    m_environment.engines.startPrefill(jobFor(action.request, *active), action.prefill);
}

auto EntryInstance::execute(const StartDecode& action) -> void
{
    auto* active = find(action.request);
    if (!active)
        return;
    active->stage = Stage::Decoding;
    active->attempt = action.attempt;
    active->decode = action.decode;
    active->resumedFrom = action.resumeFrom;
    if (action.resumeFrom != active->emitted)
        ++m_environment.metrics.misplacedTokens;
    m_environment.engines.startDecode(jobFor(action.request, *active), active->prefillAttempt, *action.prefill, action.decode);
    scheduleFirstTokenTimeout(action.request, action.attempt);
}

auto EntryInstance::scheduleFirstTokenTimeout(RequestId id, Attempt attempt) -> void
{
    const auto* active = find(id);
    const auto emitted = active->emitted;
    m_environment.events.after(firstTokenTimeout, [this, id, attempt, emitted] {
        const auto* current = find(id);
        if (!current || current->attempt != attempt || current->stage != Stage::Decoding || current->emitted != emitted)
            return;
        const auto job = jobFor(id, *current);
        m_environment.engines.cancel(m_index, id, current->decode);
        decodeFailed(job, FailureKind::TimedOut);
    });
}

auto EntryInstance::execute(const Refuse& action) -> void
{
    const auto* active = find(action.request);
    const auto reason = static_cast<std::size_t>(action.reason);
    ++m_environment.metrics.refused;
    if (reason < m_environment.metrics.refusedByReason.size())
        ++m_environment.metrics.refusedByReason[reason];
    if (!active) {
        ++m_environment.metrics.answeredTwice;
        return;
    }
    const auto caller = active->caller;
    m_active.erase(action.request);
    m_environment.callers.refused(caller, action);
}

auto EntryInstance::execute(const CancelOnReplica& action) -> void
{
    m_environment.engines.cancel(m_index, action.request, action.replica);
    // The simulated engines don't pause, so no fallback is kept.
    if (action.becomesFallback)
        m_environment.events.after(Duration::zero(), [this, id = action.request] { handleEvent(FallbackEnded { id, 0 }); });
}

auto EntryInstance::execute(const ReturnToFallback& action) -> void
{
    auto* active = find(action.request);
    if (!active)
        return;
    active->attempt = action.attempt;
    m_environment.events.after(Duration::zero(), [this, job = jobFor(action.request, *active)] { decodeFailed(job, FailureKind::NotConnected); });
}

auto EntryInstance::execute(const ReportCrashSignature& action) -> void
{
    m_environment.callers.signatureReported(action.signature);
}

auto EntryInstance::execute(const ReportCrash& action) -> void
{
    m_environment.callers.crashReported(m_index, action);
}

auto EntryInstance::execute(const WakeAt& action) -> void
{
    const auto wakeId = ++m_lastWakeId;
    m_environment.events.at(action.time, [this, wakeId] {
        if (wakeId == m_lastWakeId)
            handleEvent(Tick {});
    });
}

auto EntryInstance::prefillDone(const EngineJob& job, std::uint32_t cachedTokens, TimePoint expiresAt) -> void
{
    handleEvent(PrefillDone { job.request, job.attempt, expiresAt, cachedTokens });
}

auto EntryInstance::prefillFailed(const EngineJob& job, FailureKind failure) -> void
{
    handleEvent(PrefillFailed { job.request, job.attempt, failure });
}

auto EntryInstance::recordUsedPrefill(const EngineJob& job, const Active& active) -> void
{
    auto& metrics = m_environment.metrics;
    if (const auto unusedPrefill = metrics.unusedPrefills.extract({ job.request, active.prefillAttempt }))
        metrics.usedPrefillTokens += unusedPrefill.mapped();
}

auto EntryInstance::token(const EngineJob& job, std::uint32_t generated) -> void
{
    auto* active = find(job.request);
    if (!active || active->attempt != job.attempt || active->stage != Stage::Decoding)
        return;
    if (active->resumedFrom + generated != active->emitted + 1)
        ++m_environment.metrics.misplacedTokens;
    active->emitted = active->resumedFrom + generated;
    m_environment.callers.token(active->caller, active->emitted);
    const auto emitted = active->emitted;
    const bool last = emitted == active->request->outputTokens;
    if (generated == 1)
        recordUsedPrefill(job, *active);
    if (last)
        m_active.erase(job.request);
    if (generated == 1)
        handleEvent(DecodeStarted { job.request, job.attempt });
    if (last)
        handleEvent(DecodeFinished { job.request, job.attempt, emitted });
    else if (generated % tokensPerReport == 0)
        handleEvent(TokensEmitted { job.request, job.attempt, emitted });
}

auto EntryInstance::decodeFailed(const EngineJob& job, FailureKind failure) -> void
{
    const auto* active = find(job.request);
    handleEvent(DecodeFailed { job.request, job.attempt, failure, active ? active->emitted : 0 });
}

auto EntryInstance::handlePartition() -> void
{
    const auto lost = [&](ReplicaId replica) {
        return !m_environment.network.reachable(m_zone, m_environment.engines.all()[static_cast<std::size_t>(replica)].zone);
    };
    for (const auto& [id, active] : m_active) {
        if (active.stage == Stage::Queued || !lost(active.stage == Stage::Prefilling ? active.prefill : active.decode))
            continue;
        m_environment.events.after(partitionDetectionTime, [this, job = jobFor(id, active), stage = active.stage] {
            if (stage == Stage::Prefilling)
                prefillFailed(job, FailureKind::ConnectionLost);
            else
                decodeFailed(job, FailureKind::ConnectionLost);
        });
    }
}

}
