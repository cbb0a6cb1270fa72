#include "PlainService.h"

#include "CrashHistory.h"
#include "Hexadecimal.h"
#include "Pause.h"
#include "ProcessIdentity.h"
#include "ServerReplacement.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <utility>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// A call runs for a fraction of this time, so a server that has one that may crash it is free again by then.
constexpr Duration maxSuspectWait = std::chrono::milliseconds(300);
constexpr Duration suspectCheckInterval = std::chrono::milliseconds(10);
constexpr std::size_t maxLostCalls = 64;
constexpr Duration minDecisionWait = std::chrono::milliseconds(1);

auto eventName(BlockedPartChange change) -> std::string_view
{
    switch (change) {
    case BlockedPartChange::Add:
        return "crash_signature_blocked";
    case BlockedPartChange::Remove:
        return "crash_signature_unblocked";
    case BlockedPartChange::BeginTrial:
        return "crash_signature_trial_due";
    }
    return "crash_signature_changed";
}

}

auto PlainService::acquireFor(const PlainCallInfo& call, CallState& state, PlainAttempt& last) -> asio::awaitable<std::optional<BackendServer>>
{
    const auto waitUntil = std::min(call.deadline, monotonicNow() + maxSuspectWait);
    last.slotWait.reset();
    while (!state.isCallerDisconnected) {
        std::optional<BackendServer> server;
        CrashUpdates updates;
        auto mustWait = false;
        auto mayAwaitSlot = false;
        {
            const std::lock_guard guard(m_lock);
            const auto now = monotonicNow();
            last.isRefusedAsCrashing = isBlockedLocked(call, state, updates);
            const auto step = firstStepLocked(call, state, last.isRefusedAsCrashing);
            state.isSuspect = step.isSuspect;
            mayAwaitSlot = step.mayAwaitSlot;
            const auto excluded = state.excludedBackends();
            if (step.takesServer)
                server = state.isSuspect ? m_balancer.acquireForSuspect(now, excluded, call.signature) : m_balancer.acquire(now, excluded, meanCallTimeLocked(call));
            mustWait = state.isSuspect && step.takesServer && !server && now < waitUntil && m_balancer.awaitsSuspect(now, excluded);
        }
        publish(updates);
        if (mayAwaitSlot && !server)
            co_return co_await awaitSlot(call, state, last);
        if (!mustWait)
            co_return server;
        co_await pause(suspectCheckInterval);
    }
    co_return std::nullopt;
}

auto PlainService::firstStepLocked(const PlainCallInfo& call, const CallState& state, bool isBlocked) const -> FirstStep
{
    const auto isSuspect = !isBlocked && isSuspectLocked(call);
    // A retry goes to another server or nowhere, unless every server has rejected the call.
    const auto isFirst = state.triedBackends.empty() || state.isRejectedByAll;
    const auto mayAwaitSlot = ordersCallsLocked(call) && !isBlocked && !isSuspect && isFirst;
    return { isSuspect, mayAwaitSlot, !isBlocked && !state.isRejectedByAll && !(mayAwaitSlot && m_waiting.size()) };
}

auto PlainService::isBlockedLocked(const PlainCallInfo& call, CallState& state, CrashUpdates& updates) -> bool
{
    if (!call.signature)
        return false;
    decideCrashesLocked(updates);
    const auto now = monotonicNow();
    const std::span parts(&call.signature, 1);
    if (!hasBlockedPart(m_crashes, parts))
        return false;
    // A trial lasts until its call has run, also while the call waits for a server.
    if (state.isTrial && state.executions == 0)
        return false;
    if (!state.isTrial && tryBeginTrial(m_crashes, now, parts)) {
        state.isTrial = true;
        return false;
    }
    if (const auto due = dueTrial(m_crashes, now, parts))
        updates.blocked.push_back({ due->part, BlockedPartChange::BeginTrial, due->trials });
    return true;
}

auto PlainService::isSuspectLocked(const PlainCallInfo& call) const -> bool
{
    const std::span parts(&call.signature, 1);
    return call.signature && (isSuspicious(m_crashes, monotonicNow(), call.signature) || hasBlockedPart(m_crashes, parts));
}

auto PlainService::isAnswering(const BackendServer& server) const -> bool
{
    const std::lock_guard guard(m_lock);
    return m_balancer.isAnswering(server);
}

auto PlainService::hasCrashed(HttpClient& client, const BackendServer& server, const PlainCallInfo& call, bool wasAnswering) -> asio::awaitable<bool>
{
    {
        const std::lock_guard guard(m_lock);
        m_balancer.recordContact(server, false);
        // The connections to a server that is leaving break when it ends.
        if (!call.signature || !isLiveLocked(server))
            co_return false;
    }
    const auto lostAt = monotonicNow();
    const auto listens = co_await client.listenState(server.endpoint);
    CrashUpdates updates;
    {
        const std::lock_guard guard(m_lock);
        if (listens == ListenState::Refused) {
            recordCrashLocked(server, call.signature, lostAt, updates);
        } else if (wasAnswering) {
            if (m_lostCalls.size() == maxLostCalls)
                m_lostCalls.pop_front();
            m_lostCalls.push_back({ server, call.signature, lostAt });
        }
    }
    publish(updates);
    co_return listens == ListenState::Refused;
}

auto PlainService::recordCrashLocked(const BackendServer& server, std::uint64_t signature, TimePoint time, CrashUpdates& updates) -> void
{
    CrashedPrompt crashed { processIdentity(server), signature, { signature } };
    const auto now = monotonicNow();
    addCrashedPrompt(m_crashes, now, crashed, now - time);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - time);
    updates.reports.push_back({ m_name, m_context.settings.instance, m_reportIds(), false, std::move(crashed), age });
    m_metrics->crashSuspects.fetch_add(1, std::memory_order_relaxed);
    m_context.log.record(LogLevel::Info, "crash_suspect", { { "service", m_name }, { "signature", toHexadecimal(signature) }, { "backend", server.id }, { "incarnation", server.incarnation } });
}

auto PlainService::recordAnswer(const BackendServer& server, const PlainCallInfo& call) -> void
{
    CrashUpdates updates;
    {
        const std::lock_guard guard(m_lock);
        m_balancer.recordContact(server, true);
        if (!call.signature)
            return;
        std::erase_if(m_lostCalls, [&](const LostCall& lost) { return hasSameIncarnation(lost.server, server); });
        const auto now = monotonicNow();
        const std::span parts(&call.signature, 1);
        const auto isInQuestion = isSuspicious(m_crashes, now, call.signature) || hasBlockedPart(m_crashes, parts);
        for (const auto part : recordHarmlessParts(m_crashes, now, parts, true))
            updates.blocked.push_back({ part, BlockedPartChange::Remove });
        if (!isInQuestion)
            return;
        addHarmlessReportLocked(call.signature, Duration::zero(), updates);
    }
    record(LogLevel::Info, call, "crash_suspect_cleared", { { "backend", server.id } });
    publish(updates);
}

auto PlainService::addHarmlessReportLocked(std::uint64_t signature, Duration age, CrashUpdates& updates) -> void
{
    updates.reports.push_back({ m_name, m_context.settings.instance, m_reportIds(), true, { .parts = { signature } }, std::chrono::ceil<std::chrono::milliseconds>(age) });
    reconsiderCrashes(m_crashes, monotonicNow());
    decideCrashesLocked(updates);
}

auto PlainService::findReplacedServersLocked(std::span<const BackendServer> backends, CrashUpdates& updates) -> void
{
    const auto now = monotonicNow();
    std::erase_if(m_lostCalls, [&](const LostCall& lost) {
        if (now - lost.time >= replacementWindow)
            return true;
        if (std::ranges::none_of(backends, [&](const BackendServer& entry) { return hasReplaced(entry, lost.server); }))
            return false;
        recordCrashLocked(lost.server, lost.signature, lost.time, updates);
        return true;
    });
}

auto PlainService::handleCrashReport(const PromptReport& report) -> void
{
    m_context.log.record(LogLevel::Info, "crash_suspect_heard", { { "service", m_name }, { "harmless", report.isHarmless }, { "signature", toHexadecimal(report.prompt.parts) }, { "process", report.prompt.process }, { "from", report.instance } });
    CrashUpdates updates;
    {
        const std::lock_guard guard(m_lock);
        if (report.isHarmless) {
            for (const auto part : recordHarmlessParts(m_crashes, monotonicNow() - report.age, report.prompt.parts, false))
                updates.blocked.push_back({ part, BlockedPartChange::Remove });
            reconsiderCrashes(m_crashes, monotonicNow());
            decideCrashesLocked(updates);
        } else {
            const auto now = monotonicNow();
            addCrashedPrompt(m_crashes, now, report.prompt, report.age);
            // The peers decide themselves whether the answer speaks for the call.
            if (const auto answeredAt = lastOwnAnswer(m_crashes, now, report.prompt.signature))
                addHarmlessReportLocked(report.prompt.signature, now - *answeredAt, updates);
        }
    }
    publish(updates);
    if (!report.isHarmless)
        scheduleCrashDecision();
}

auto PlainService::updateBlockedCalls(std::span<const ListedPart> listed) -> void
{
    CrashUpdates updates;
    {
        const std::lock_guard guard(m_lock);
        for (const auto signature : applyListedParts(m_crashes, monotonicNow(), listed))
            updates.blocked.push_back({ signature, BlockedPartChange::Remove });
    }
    publish(updates);
}

auto PlainService::allowTrial(std::uint64_t signature) -> void
{
    const std::lock_guard guard(m_lock);
    jayhold::allowTrial(m_crashes, monotonicNow(), signature);
}

auto PlainService::decideCrashesLocked(CrashUpdates& updates) -> void
{
    for (const auto part : blockCrashingParts(m_crashes, monotonicNow()))
        updates.blocked.push_back({ .part = part, .change = BlockedPartChange::Add, .isDoubtful = isDoubtful(m_crashes, part) });
}

auto PlainService::scheduleCrashDecision() -> void
{
    {
        const std::lock_guard guard(m_lock);
        if (std::exchange(m_isCrashDecisionDue, true))
            return;
    }
    asio::co_spawn(m_context.threads.context(0), decideAfterReports(), logTaskFailure(m_context.log, "decide on crashing calls"));
}

auto PlainService::decideAfterReports() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto wait = crashReportWait;
    while (wait > Duration::zero()) {
        co_await pause(wait);
        CrashUpdates updates;
        {
            const std::lock_guard guard(m_lock);
            decideCrashesLocked(updates);
            // Crashes that became known during the wait are decided on once their own reports have arrived.
            m_isCrashDecisionDue = m_crashes.decideAt != TimePoint::max();
            wait = m_isCrashDecisionDue ? std::max<Duration>(m_crashes.decideAt - monotonicNow(), minDecisionWait) : Duration::zero();
        }
        publish(updates);
    }
}

auto PlainService::publish(const CrashUpdates& updates) -> void
{
    for (const auto& report : updates.reports)
        m_context.reportPrompt(report);
    if (std::ranges::any_of(updates.reports, [](const PromptReport& report) { return !report.isHarmless; }))
        scheduleCrashDecision();
    for (const auto& update : updates.blocked) {
        m_metrics->blockedSignatures.fetch_add(update.change == BlockedPartChange::Add ? 1 : 0, std::memory_order_relaxed);
        m_context.log.record(LogLevel::Warning, eventName(update.change), { { "service", m_name }, { "signature", toHexadecimal(update.part) }, { "trials", update.trials } });
        m_context.updateBlockedPart(m_name, update);
    }
}

}
