#include "ModelService.h"

#include "Hexadecimal.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>
#include <span>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Kinds keep their indices when the configuration changes, because requests in progress and length models
/// refer to them.
auto mergeKinds(std::vector<RequestKind> known, const std::vector<RequestKind>& declared) -> std::vector<RequestKind>
{
    for (const auto& kind : declared) {
        const auto found = std::ranges::find(known, kind.name, &RequestKind::name);
        if (found == known.end())
            known.push_back(kind);
        else
            *found = kind;
    }
    return known;
}

auto shardSettingsOf(const EntryContext& context, const ConfigurationIndex& index, const Service& service, std::vector<RequestKind> knownKinds) -> ShardSettings
{
    ShardSettings settings;
    settings.seed = context.settings.seed;
    settings.localZone = index.zoneOf(context.settings.availabilityZone);
    settings.wastedPrefillWeight = service.wastedPrefillWeight;
    settings.kinds = mergeKinds(std::move(knownKinds), service.kinds);
    settings.kvBytesPerToken = static_cast<std::uint64_t>(service.kvBytesPerToken);
    settings.memoryQuantile = service.memoryQuantile;
    settings.decodeMayPrefill = service.decodeMayPrefill;
    settings.refuseOverdue = service.refuseOverdue;
    settings.reservesSlots = context.backendProtocol.reserveSlot && service.slotReservationTime > Duration::zero();
    settings.retry = service.retry;
    for (const auto& customer : index.configuration().customers) {
        settings.customerWeights.push_back(customer.weight);
        settings.customerPriorities.push_back(customer.priority.value_or(defaultPriority));
        settings.customerQueueLimits.push_back(static_cast<std::uint32_t>(std::min<std::int64_t>(customer.maxQueued, UINT32_MAX)));
    }
    return settings;
}

auto eventName(BlockedPartChange change) -> std::string_view
{
    switch (change) {
    case BlockedPartChange::Add:
        return "prompt_part_blocked";
    case BlockedPartChange::Remove:
        return "prompt_part_unblocked";
    case BlockedPartChange::BeginTrial:
        return "prompt_part_trial_due";
    }
    return "";
}

auto zoneNames(const ConfigurationIndex& index) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& zone : index.configuration().availabilityZones)
        names.push_back(zone.name);
    return names;
}

}

ModelService::ModelService(EntryContext& context, const ConfigurationIndex& index, const Service& service)
    : m_context(context)
    , m_name(service.name)
    , m_idPrefix(context.settings.instance + "/" + context.runId + "/" + service.name + "/")
    , m_metrics(context.metrics.service(service.name))
    , m_pools(service.pools)
    , m_zones(zoneNames(index))
    , m_prefillResultTtl(service.prefillResultTtl)
    , m_roleChangeTime(service.roleChangeTime)
    , m_slotReservationTime(service.slotReservationTime)
    , m_tokensPerEvent(static_cast<std::uint32_t>(service.tokensPerEvent))
    , m_shardSettings(shardSettingsOf(context, index, service, {}))
    , m_shard(makeShard(m_shardSettings))
{
}

ModelService::~ModelService() = default;

auto ModelService::updateConfiguration(const ConfigurationIndex& index, const Service& service) -> void
{
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        const auto instanceCount = m_shardSettings.instanceCount;
        m_pools = service.pools;
        m_zones = zoneNames(index);
        m_prefillResultTtl = service.prefillResultTtl;
        m_roleChangeTime = service.roleChangeTime;
        m_slotReservationTime = service.slotReservationTime;
        m_tokensPerEvent = static_cast<std::uint32_t>(service.tokensPerEvent);
        m_shardSettings = shardSettingsOf(m_context, index, service, std::move(m_shardSettings.kinds));
        m_shardSettings.instanceCount = instanceCount;
        jayhold::updateSettings(m_shard, m_shardSettings);
        // Slots, memory and zones depend on the configuration, which may have changed.
        for (const auto& [id, status] : m_replicas)
            reportReplicaLocked(status, outbox);
    }
    send(std::move(outbox));
}

auto ModelService::updateInstanceCount(std::uint32_t instanceCount) -> void
{
    const std::lock_guard guard(m_lock);
    if (m_shardSettings.instanceCount == instanceCount)
        return;
    m_shardSettings.instanceCount = instanceCount;
    jayhold::updateSettings(m_shard, m_shardSettings);
}

auto ModelService::kindId(std::string_view kind) const -> KindId
{
    const std::lock_guard guard(m_lock);
    const auto& kinds = m_shardSettings.kinds;
    return static_cast<KindId>(std::ranges::find(kinds, kind, &RequestKind::name) - kinds.begin());
}

auto ModelService::versionId(std::string_view version) -> SoftwareVersionId
{
    const std::lock_guard guard(m_lock);
    return versionIdLocked(version);
}

auto ModelService::versionIdLocked(std::string_view version) -> SoftwareVersionId
{
    const auto known = m_versions.find(version);
    if (known != m_versions.end())
        return known->second;
    return m_versions.emplace(version, static_cast<SoftwareVersionId>(m_versions.size())).first->second;
}

auto ModelService::prefillResultTtl() const -> Duration
{
    const std::lock_guard guard(m_lock);
    return m_prefillResultTtl;
}

auto ModelService::roleChangeTime() const -> Duration
{
    const std::lock_guard guard(m_lock);
    return m_roleChangeTime;
}

auto ModelService::slotReservationTime() const -> Duration
{
    const std::lock_guard guard(m_lock);
    return m_slotReservationTime;
}

auto ModelService::tokensPerEvent() const -> std::uint32_t
{
    const std::lock_guard guard(m_lock);
    return m_tokensPerEvent;
}

auto ModelService::open(RequestArrived arrived, const std::shared_ptr<ActionReceiver>& receiver) -> RequestId
{
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        arrived.request = static_cast<RequestId>(++m_lastRequest);
        m_requests.emplace(arrived.request, OpenRequest { receiver, {} });
        decideLocked(arrived, outbox);
    }
    send(std::move(outbox));
    return arrived.request;
}

auto ModelService::handleEvent(const DecisionEvent& event) -> void
{
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        if (std::holds_alternative<Tick>(event) && !m_roleChanges.empty())
            expireRoleChangesLocked(monotonicNow(), outbox);
        cancelEndedLocked(event, outbox);
        decideLocked(event, outbox);
    }
    send(std::move(outbox));
}

auto ModelService::close(RequestId request) -> void
{
    const std::lock_guard guard(m_lock);
    m_requests.erase(request);
}

auto ModelService::isActiveAttempt(ReplicaId replica, std::string_view engineRequestId) const -> bool
{
    const auto parsed = parseEngineRequestId(engineRequestId);
    if (!parsed)
        return false;
    const std::lock_guard guard(m_lock);
    const auto open = m_requests.find(parsed->first);
    return open != m_requests.end() && std::ranges::any_of(open->second.attempts, [&](const RunningAttempt& running) {
        return running.replica == replica && running.attempt == parsed->second;
    });
}

auto ModelService::engineRequestId(RequestId request, Attempt attempt) const -> std::string
{
    return m_idPrefix + std::to_string(static_cast<std::uint64_t>(request)) + "." + std::to_string(attempt);
}

auto ModelService::parseEngineRequestId(std::string_view engineRequestId) const -> std::optional<std::pair<RequestId, Attempt>>
{
    if (!engineRequestId.starts_with(m_idPrefix))
        return std::nullopt;
    const auto* text = engineRequestId.data() + m_idPrefix.size();
    const auto* end = engineRequestId.data() + engineRequestId.size();
    std::uint64_t request = 0;
    Attempt attempt = 0;
    const auto [dot, requestCode] = std::from_chars(text, end, request);
    if (requestCode != std::errc {} || dot == end || *dot != '.')
        return std::nullopt;
    const auto [rest, attemptCode] = std::from_chars(dot + 1, end, attempt);
    if (attemptCode != std::errc {} || rest != end)
        return std::nullopt;
    return std::pair { static_cast<RequestId>(request), attempt };
}

auto ModelService::decideLocked(const DecisionEvent& event, Outbox& outbox) -> void
{
    m_actions.clear();
    const auto before = monotonicNow();
    decide(m_shard, before, event, m_actions);
    m_metrics->decision.record(monotonicNow() - before);
    for (const auto& action : m_actions)
        dispatchActionLocked(action, outbox);
}

auto ModelService::dispatchActionLocked(const DecisionAction& action, Outbox& outbox) -> void
{
    const auto deliver = [&](RequestId request) {
        const auto open = m_requests.find(request);
        auto receiver = open == m_requests.end() ? nullptr : open->second.receiver.lock();
        if (receiver)
            outbox.deliveries.push_back({ std::move(receiver), action });
    };
    if (const auto* prefill = std::get_if<StartPrefill>(&action)) {
        addAttemptLocked(prefill->request, prefill->prefill, prefill->attempt);
        deliver(prefill->request);
    } else if (const auto* decode = std::get_if<StartDecode>(&action)) {
        addAttemptLocked(decode->request, decode->decode, decode->attempt);
        deliver(decode->request);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        cancelLocked(refuse->request, std::nullopt, outbox);
        deliver(refuse->request);
    } else if (const auto* cancel = std::get_if<CancelOnReplica>(&action)) {
        if (!cancel->becomesFallback)
            cancelLocked(cancel->request, cancel->replica, outbox);
        deliver(cancel->request);
    } else if (const auto* reservation = std::get_if<ReserveReplacement>(&action)) {
        deliver(reservation->request);
    } else if (const auto* release = std::get_if<ReleaseReplacement>(&action)) {
        deliver(release->request);
    } else if (const auto* fallback = std::get_if<ReturnToFallback>(&action)) {
        deliver(fallback->request);
    } else if (const auto* report = std::get_if<ReportCrashSignature>(&action)) {
        outbox.signatures.push_back(report->signature);
    } else if (const auto* crash = std::get_if<ReportCrash>(&action)) {
        if (const auto known = m_replicas.find(crash->replica); known != m_replicas.end())
            outbox.suspects.push_back({ crash->signature, known->second.backend.id, known->second.backend.incarnation, m_context.settings.instance });
    } else if (const auto* crashed = std::get_if<ReportCrashedPrompt>(&action)) {
        outbox.promptReports.push_back({ m_name, m_context.settings.instance, m_reportIds(), false, crashed->prompt });
    } else if (const auto* harmless = std::get_if<ReportHarmlessParts>(&action)) {
        for (std::span<const std::uint64_t> parts = harmless->parts; !parts.empty();) {
            const auto reported = parts.first(std::min(maxReportedParts, parts.size()));
            parts = parts.subspan(reported.size());
            outbox.promptReports.push_back({ m_name, m_context.settings.instance, m_reportIds(), true, { .parts = { reported.begin(), reported.end() } } });
        }
    } else if (const auto* dropped = std::get_if<CrashEvidenceDropped>(&action)) {
        m_context.log.record(LogLevel::Warning, "crash_evidence_dropped", { { "service", m_name }, { "process", dropped->process }, { "parts", dropped->parts } });
    } else if (const auto* update = std::get_if<UpdateBlockedPart>(&action)) {
        outbox.blockedParts.push_back(*update);
    } else if (const auto* returned = std::get_if<ReplicaReturned>(&action)) {
        if (const auto known = m_replicas.find(returned->replica); known != m_replicas.end())
            outbox.returned.push_back(known->second.backend);
    } else if (const auto* check = std::get_if<CheckProcess>(&action)) {
        if (const auto known = m_replicas.find(check->replica); known != m_replicas.end()) {
            addLostServer(m_lostServers, known->second.backend, monotonicNow());
            outbox.checks.push_back(known->second.backend);
        }
    } else if (const auto* wake = std::get_if<WakeAt>(&action)) {
        m_wakeAt = wake->time;
    }
}

auto ModelService::addAttemptLocked(RequestId request, ReplicaId replica, Attempt attempt) -> void
{
    if (const auto open = m_requests.find(request); open != m_requests.end())
        open->second.attempts.push_back({ replica, attempt });
}

/// Each attempt is cancelled by its own request id, so that a late cancel cannot affect a newer attempt of
/// the same request on the same engine.
auto ModelService::cancelLocked(RequestId request, std::optional<ReplicaId> replica, Outbox& outbox, AttemptRange attempts) -> void
{
    const auto open = m_requests.find(request);
    if (open == m_requests.end())
        return;
    std::erase_if(open->second.attempts, [&](const RunningAttempt& running) {
        if ((replica && running.replica != *replica) || running.attempt < attempts.first || running.attempt > attempts.last)
            return false;
        if (const auto known = m_replicas.find(running.replica); known != m_replicas.end())
            outbox.cancels.push_back({ known->second.backend.endpoint, engineRequestId(request, running.attempt) });
        return true;
    });
}

/// Called before the shard processes the event, so that the attempts that a failure ends are cancelled
/// before the shard can start another one. One that it has started already goes on.
auto ModelService::cancelEndedLocked(const DecisionEvent& event, Outbox& outbox) -> void
{
    const auto mayHoldMemory = [](FailureKind failure) {
        return failure == FailureKind::TimedOut || failure == FailureKind::ConnectionLost || failure == FailureKind::ServerError;
    };
    if (const auto* cancelled = std::get_if<RequestCancelled>(&event))
        cancelLocked(cancelled->request, std::nullopt, outbox);
    else if (const auto* prefill = std::get_if<PrefillFailed>(&event); prefill && mayHoldMemory(prefill->failure))
        cancelLocked(prefill->request, std::nullopt, outbox, { 0, prefill->attempt });
    else if (const auto* decode = std::get_if<DecodeFailed>(&event); decode && mayHoldMemory(decode->failure))
        cancelLocked(decode->request, std::nullopt, outbox, { 0, decode->attempt });
    else if (const auto* replacement = std::get_if<ReplacementFailed>(&event); replacement && mayHoldMemory(replacement->failure))
        cancelLocked(replacement->request, std::nullopt, outbox, { replacement->attempt, replacement->attempt });
    else if (const auto* fallback = std::get_if<FallbackEnded>(&event))
        cancelLocked(fallback->request, std::nullopt, outbox, { fallback->attempt, fallback->attempt });
}

auto ModelService::send(Outbox outbox) -> void
{
    for (auto& delivery : outbox.deliveries)
        delivery.receiver->deliver(delivery.action);
    m_metrics->blockedSignatures.fetch_add(outbox.signatures.size(), std::memory_order_relaxed);
    m_metrics->crashSuspects.fetch_add(outbox.suspects.size(), std::memory_order_relaxed);
    for (const auto signature : outbox.signatures) {
        m_context.log.record(LogLevel::Warning, "crash_signature_blocked", { { "service", m_name }, { "signature", std::to_string(signature) } });
        m_context.reportCrashSignature(signature);
    }
    for (const auto& suspect : outbox.suspects) {
        m_context.log.record(LogLevel::Info, "crash_suspect", { { "service", m_name }, { "signature", std::to_string(suspect.signature) }, { "backend", suspect.backend } });
        m_context.reportCrashSuspect(suspect);
    }
    sendPromptReports(outbox);
    for (const auto& server : outbox.returned)
        m_context.reportReturned(server);
    for (auto& server : outbox.checks) {
        const auto thread = m_context.threads.nextIndex();
        asio::co_spawn(m_context.threads.context(thread), checkProcess(shared_from_this(), thread, std::move(server)), logTaskFailure(m_context.log, "check the process of a backend server"));
    }
    if (!outbox.cancels.empty())
        sendCancels(std::move(outbox.cancels));
    rearmTimer();
}

auto ModelService::sendPromptReports(const Outbox& outbox) -> void
{
    for (const auto& report : outbox.promptReports) {
        m_context.log.record(LogLevel::Info, report.isHarmless ? "prompt_parts_harmless" : "prompt_at_crash", { { "service", m_name }, { "process", report.prompt.process }, { "signature", report.prompt.signature }, { "first_position", report.prompt.firstPosition }, { "prompt_parts", toHexadecimal(report.prompt.parts) } });
        m_context.reportPrompt(report);
    }
    for (const auto& update : outbox.blockedParts) {
        m_metrics->blockedParts.fetch_add(update.change == BlockedPartChange::Add ? 1 : 0, std::memory_order_relaxed);
        m_context.log.record(LogLevel::Warning, eventName(update.change), { { "service", m_name }, { "prompt_part", toHexadecimal(update.part) }, { "trials", update.trials } });
        m_context.updateBlockedPart(m_name, update);
    }
}

auto ModelService::sendCancels(std::vector<EngineCancel> cancels) -> void
{
    // If the protocol has no cancel call, the request cancels by closing its connection.
    if (!m_context.backendProtocol.cancel)
        return;
    const auto thread = m_context.threads.nextIndex();
    for (auto& cancel : cancels) {
        m_context.log.record(LogLevel::Debug, "engine_cancel", { { "request", cancel.requestId }, { "backend", toString(cancel.endpoint) } });
        asio::co_spawn(m_context.threads.context(thread),
            m_context.backendProtocol.cancel(m_context.threads.client(thread), std::move(cancel.endpoint), std::move(cancel.requestId)), asio::detached);
    }
}

}
