#include "ModelService.h"

#include "Hexadecimal.h"
#include "ProcessIdentity.h"
#include "RoleBalance.h"

#include <algorithm>
#include <map>
#include <set>

namespace jayhold {

namespace {

/// @return whether the list has the server, in whatever pool. Such a server completes what it runs.
auto isListed(std::span<const BackendServer> backends, const BackendServer& server) -> bool
{
    return std::ranges::any_of(backends, [&](const BackendServer& backend) {
        return hasSameIncarnation(backend, server) && backend.state != ReplicaState::Gone;
    });
}

}

auto ModelService::updateBackends(std::span<const BackendServer> backends, const BackendPauses& pauses) -> void
{
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        for (const auto& server : takeReplacedServers(m_lostServers, backends, monotonicNow()))
            reportEndedLocked(server, "replaced", outbox);
        std::set<ReplicaId> present;
        for (const auto& backend : backends) {
            const auto* pool = findPool(backend.pool);
            if (pool && backend.state != ReplicaState::Gone)
                present.insert(upsertReplicaLocked(backend, *pool, pauses, outbox));
        }
        for (auto replica = m_replicas.begin(); replica != m_replicas.end();) {
            if (present.contains(replica->first)) {
                ++replica;
                continue;
            }
            if (isListed(backends, replica->second.backend))
                endReplicaLocked(replica->second, outbox);
            else
                removeReplicaLocked(replica->second, outbox);
            replica = m_replicas.erase(replica);
        }
    }
    send(std::move(outbox));
}

auto ModelService::applyPause(const BackendServer& server, const BackendPause& pause) -> void
{
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        const auto known = m_replicaIds.find(server.id);
        if (known == m_replicaIds.end() || !hasSameIncarnation(m_replicas.at(known->second).backend, server))
            return;
        decideLocked(ReplicaPaused { known->second, pause.until, pause.askedUntil }, outbox);
    }
    send(std::move(outbox));
}

auto ModelService::isPaused(ReplicaId replica) const -> bool
{
    const std::lock_guard guard(m_lock);
    return jayhold::isPaused(m_shard, monotonicNow(), replica);
}

auto ModelService::isPaused(std::string_view backend) const -> bool
{
    const std::lock_guard guard(m_lock);
    const auto known = m_replicaIds.find(std::string(backend));
    return known != m_replicaIds.end() && jayhold::isPaused(m_shard, monotonicNow(), known->second);
}

auto ModelService::updateRates(const CallRates& rates) -> void
{
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        for (const auto& [id, status] : m_replicas)
            decideLocked(ReplicaLimited { id, rateOf(rates, status.backend.id, status.backend.incarnation) }, outbox);
    }
    send(std::move(outbox));
}

auto ModelService::upsertReplicaLocked(const BackendServer& backend, const Pool& pool, const BackendPauses& pauses, Outbox& outbox) -> ReplicaId
{
    const auto known = m_replicaIds.find(backend.id);
    // A process that restarted under the same id has lost the state of the earlier one, so it becomes a new
    // replica. The entry may be older than the connections to it, which break by themselves if the earlier process
    // has ended.
    if (known != m_replicaIds.end() && !hasSameIncarnation(m_replicas.at(known->second).backend, backend)) {
        const auto former = known->second;
        endReplicaLocked(m_replicas.at(former), outbox);
        m_replicas.erase(former);
    }
    auto [entry, isNew] = m_replicaIds.try_emplace(backend.id, static_cast<ReplicaId>(m_lastReplica + 1));
    if (isNew)
        ++m_lastReplica;
    auto& status = m_replicas[entry->second];
    if (!isNew && status.backend == backend && status.role == pool.role)
        return status.id;
    if (!isNew && status.role != pool.role)
        m_roleChanges.erase(status.id);
    status.id = entry->second;
    status.backend = backend;
    status.role = pool.role;
    // A new replica gets work as soon as it is live, so the shard learns of its pause before.
    if (const auto pause = pauseOf(pauses, monotonicNow(), backend.id, backend.incarnation); pause && backend.state == ReplicaState::Live) {
        status.backend.state = ReplicaState::Leaving;
        reportReplicaLocked(status, outbox);
        decideLocked(ReplicaPaused { status.id, pause->until, pause->askedUntil }, outbox);
        status.backend.state = backend.state;
    }
    reportReplicaLocked(status, outbox);
    return status.id;
}

auto ModelService::endReplicaLocked(ReplicaStatus& status, Outbox& outbox) -> void
{
    status.backend.state = ReplicaState::Leaving;
    reportReplicaLocked(status, outbox);
    removeReplicaLocked(status, outbox);
}

auto ModelService::removeReplicaLocked(ReplicaStatus& status, Outbox& outbox) -> void
{
    status.backend.state = ReplicaState::Gone;
    reportReplicaLocked(status, outbox);
    m_replicaIds.erase(status.backend.id);
    m_roleChanges.erase(status.id);
}

auto ModelService::reportReplicaLocked(const ReplicaStatus& status, Outbox& outbox) -> void
{
    const auto* pool = findPool(status.backend.pool);
    const auto zone = std::ranges::find(m_zones, status.backend.availabilityZone) - m_zones.begin();
    ReplicaChanged change { .replica = status.id, .role = status.role, .zone = static_cast<ZoneId>(zone), .state = status.backend.state };
    change.process = processIdentity(status.backend);
    change.version = versionIdLocked(status.backend.softwareVersion);
    if (m_roleChanges.contains(status.id) && change.state == ReplicaState::Live)
        change.state = ReplicaState::Leaving;
    if (pool) {
        change.slots = static_cast<std::uint32_t>(status.backend.slots > 0 ? status.backend.slots : pool->slots);
        change.memoryBlocks = static_cast<std::uint32_t>(pool->memoryBlocks);
        change.memoryBlockTokens = static_cast<std::uint32_t>(pool->memoryBlockTokens);
        change.linkBytesPerSecond = static_cast<std::uint64_t>(pool->linkBytesPerSecond);
    } else if (change.state == ReplicaState::Live) {
        change.state = ReplicaState::Leaving;
    }
    decideLocked(change, outbox);
}

auto ModelService::findPool(std::string_view name) const -> const Pool*
{
    const auto found = std::ranges::find(m_pools, name, &Pool::name);
    return found == m_pools.end() ? nullptr : &*found;
}

auto ModelService::roleDemand() const -> RoleDemand
{
    const std::lock_guard guard(m_lock);
    return jayhold::roleDemand(m_shard);
}

auto ModelService::roleChangeCandidates(PoolRole role) const -> std::vector<BackendServer>
{
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    std::vector<BackendServer> servers;
    std::map<std::string_view, std::size_t> versions;
    for (const auto& [id, status] : m_replicas) {
        const auto isAvailable = status.role == role && status.backend.state == ReplicaState::Live && !m_roleChanges.contains(id);
        if (isAvailable)
            ++versions[status.backend.softwareVersion];
        if (isAvailable && !jayhold::isPaused(m_shard, now, id))
            servers.push_back(status.backend);
    }
    // Streams of a version can't go on without a decode engine of that version.
    if (role == PoolRole::Decode)
        std::erase_if(servers, [&](const BackendServer& server) { return versions[server.softwareVersion] < 2; });
    return rankForRoleChange(std::move(servers));
}

auto ModelService::recordRoleChange(std::string_view backend, TimePoint until) -> void
{
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        const auto known = m_replicaIds.find(std::string(backend));
        if (known == m_replicaIds.end())
            return;
        const auto [change, isNew] = m_roleChanges.try_emplace(known->second, until);
        change->second = std::max(change->second, until);
        if (!isNew)
            return;
        reportReplicaLocked(m_replicas.at(known->second), outbox);
    }
    send(std::move(outbox));
}

auto ModelService::handleCrashSuspect(const CrashSuspect& suspect) -> void
{
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        const auto known = m_replicaIds.find(suspect.backend);
        if (known == m_replicaIds.end() || m_replicas.at(known->second).backend.incarnation != suspect.incarnation)
            return;
        m_context.log.record(LogLevel::Info, "crash_suspect_heard", { { "service", m_name }, { "signature", std::to_string(suspect.signature) }, { "backend", suspect.backend }, { "from", suspect.instance } });
        decideLocked(CrashReported { suspect.signature, known->second, suspect.instance < m_context.settings.instance }, outbox);
    }
    send(std::move(outbox));
}

auto ModelService::checkProcess(std::shared_ptr<ModelService> service, std::size_t thread, BackendServer server) -> boost::asio::awaitable<void>
{
    if (co_await service->m_context.threads.client(thread).listenState(server.endpoint) != ListenState::Refused)
        co_return;
    Outbox outbox;
    {
        const std::lock_guard guard(service->m_lock);
        service->reportEndedLocked(server, "refuses_connections", outbox);
    }
    service->send(std::move(outbox));
}

auto ModelService::reportEndedLocked(const BackendServer& server, std::string_view evidence, Outbox& outbox) -> void
{
    m_context.log.record(LogLevel::Info, "crash_confirmed", { { "service", m_name }, { "backend", server.id }, { "incarnation", server.incarnation }, { "evidence", evidence } });
    decideLocked(ProcessEnded { processIdentity(server) }, outbox);
}

auto ModelService::handlePromptReport(const PromptReport& report) -> void
{
    m_context.log.record(LogLevel::Info, "prompt_report_heard", { { "service", m_name }, { "harmless", report.isHarmless }, { "process", report.prompt.process }, { "signature", report.prompt.signature }, { "prompt_parts", toHexadecimal(report.prompt.parts) }, { "from", report.instance } });
    if (report.isHarmless)
        handleEvent(HarmlessPartsReported { report.prompt.parts });
    else
        handleEvent(CrashedPromptReported { report.prompt });
}

auto ModelService::expireRoleChangesLocked(TimePoint now, Outbox& outbox) -> void
{
    for (auto change = m_roleChanges.begin(); change != m_roleChanges.end();) {
        if (now < change->second) {
            ++change;
            continue;
        }
        const auto replica = m_replicas.find(change->first);
        change = m_roleChanges.erase(change);
        if (replica != m_replicas.end())
            reportReplicaLocked(replica->second, outbox);
    }
}

auto ModelService::recordLoad(ReplicaId replica, EngineLoad load, TimePoint asOf) -> void
{
    ReplicaLoad event { .replica = replica, .sequence = load.sequence, .asOf = asOf, .running = load.running, .waiting = load.waiting, .freeMemoryBlocks = load.freeMemoryBlocks };
    for (const auto& held : load.held) {
        if (const auto attempt = parseEngineRequestId(held.requestId))
            event.held.push_back(attempt->first);
    }
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        const auto known = m_replicas.find(replica);
        if (known == m_replicas.end())
            return;
        known->second.load = std::move(load);
        decideLocked(event, outbox);
    }
    send(std::move(outbox));
}

auto ModelService::replica(ReplicaId replica) const -> std::optional<ReplicaStatus>
{
    const std::lock_guard guard(m_lock);
    const auto known = m_replicas.find(replica);
    return known == m_replicas.end() ? std::nullopt : std::optional(known->second);
}

auto ModelService::isLiveLocked(ReplicaId replica) const -> bool
{
    const auto known = m_replicas.find(replica);
    return known != m_replicas.end() && known->second.backend.state == ReplicaState::Live;
}

auto ModelService::isLive(ReplicaId replica) const -> bool
{
    const std::lock_guard guard(m_lock);
    return isLiveLocked(replica);
}

auto ModelService::isLive(const BackendServer& server) const -> bool
{
    const std::lock_guard guard(m_lock);
    const auto known = m_replicaIds.find(server.id);
    return known != m_replicaIds.end() && isLiveLocked(known->second) && hasSameIncarnation(m_replicas.at(known->second).backend, server);
}

auto ModelService::replicas() const -> std::vector<ReplicaStatus>
{
    std::vector<ReplicaStatus> list;
    const std::lock_guard guard(m_lock);
    for (const auto& [id, status] : m_replicas)
        list.push_back(status);
    std::ranges::sort(list, {}, &ReplicaStatus::id);
    return list;
}

auto ModelService::summary() const -> ShardSummary
{
    const std::lock_guard guard(m_lock);
    return summarize(m_shard);
}

auto ModelService::tryConsumeRetry(ReplicaId replica) -> bool
{
    const std::lock_guard guard(m_lock);
    return isLiveLocked(replica) && jayhold::tryConsumeRetry(m_shard, monotonicNow(), replica);
}

auto ModelService::retryBudget() const -> RetryBudget
{
    const std::lock_guard guard(m_lock);
    return jayhold::retryBudget(m_shard);
}

auto ModelService::usage() const -> std::vector<BackendUsage>
{
    std::vector<BackendUsage> usages;
    const std::lock_guard guard(m_lock);
    for (const auto& usage : ownUsage(m_shard)) {
        if (const auto known = m_replicas.find(usage.replica); known != m_replicas.end())
            usages.push_back({ known->second.backend.id, usage.slots, usage.memoryBlocks, usage.prefillTokens });
    }
    return usages;
}

auto ModelService::updatePeerUsage(std::span<const BackendUsage> usages) -> void
{
    PeerUsage event;
    Outbox outbox;
    {
        const std::lock_guard guard(m_lock);
        for (const auto& usage : usages) {
            if (const auto known = m_replicaIds.find(usage.backend); known != m_replicaIds.end())
                event.usages.push_back({ known->second, usage.slots, usage.memoryBlocks, usage.prefillTokens });
        }
        decideLocked(event, outbox);
    }
    send(std::move(outbox));
}

}
