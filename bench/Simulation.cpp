#include "Simulation.h"

#include "ClairvoyantBound.h"

#include <algorithm>

namespace jayhold::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration loadReportInterval = 100ms;
constexpr Duration cacheEventInterval = 250ms;
constexpr Duration tickInterval = 100ms;
constexpr Duration slotSharingInterval = 100ms;
/// One message revokes slots from an instance and one grants them to another.
constexpr std::uint64_t messagesPerLeaseMove = 2;
/// Delay after which an entry instance reads an engine's whole cache when it has lost a cache event.
constexpr Duration cacheResyncDelay = 2s;
/// Delay after which the instance list shows that an engine has crashed or restarted.
constexpr Duration instanceListLag = 2s;
/// Time in which gossip distributes a crash signature to all instances.
constexpr Duration gossipDelay = 1s;
/// Delay of crash reports, which are sent immediately and cross a few hops within a zone.
constexpr Duration crashReportDelay = 10ms;
/// Latency from the receiving instance to the owner to which it forwards a request.
constexpr Duration forwardingLatency = Duration(500);
/// All memory blocks must be released within this time after the last event.
constexpr Duration memoryReleaseTime = 2s;
/// A run that has not ended this long after the arrivals is stopped. The remaining requests count as
/// unanswered.
constexpr Duration maxTimeAfterLastArrival = 400s;

}

Simulation::Simulation(const Cell& cell, const Faults& faults, std::span<const CallerRequest> requests)
    : m_cell(cell)
    , m_faults(faults)
    , m_requests(requests)
    , m_network { m_events, faults }
    , m_engines(m_events, cell.workload, faults, m_network, m_metrics, cell.plan.seed)
    , m_callers(m_events, cell.workload, faults, requests, m_metrics, [this](std::size_t caller) { send(caller); })
    , m_slots(cell.sharing, cell.workload.engines)
    , m_sentRequests(requests.size())
    , m_random(cell.plan.seed + 1)
{
    setListeners();
    addInstances();
    scheduleFaults();
}

auto Simulation::setListeners() -> void
{
    m_callerListener = {
        .token = [this](std::size_t caller, std::uint32_t index) { m_callers.token(caller, index); },
        .refused = [this](std::size_t caller, const Refuse& refusal) { m_callers.refused(caller, refusal); },
        .signatureReported = [this](std::uint64_t signature) { m_events.after(gossipDelay, [this, signature] {
                                                                   for (const auto& instance : m_instances)
                                                                       instance->handleEvent(CrashSignatureReported { signature });
                                                               }); },
        .crashReported = [this](std::size_t reporter, const ReportCrash& report) { m_events.after(crashReportDelay, [this, reporter, report] { sendCrashReports(reporter, report); }); },
    };
    m_engines.setListener({
        .prefillDone = [this](const EngineJob& job, std::uint32_t cachedTokens, TimePoint expiresAt) { m_instances[job.instance]->prefillDone(job, cachedTokens, expiresAt); },
        .prefillFailed = [this](const EngineJob& job, FailureKind failure) { m_instances[job.instance]->prefillFailed(job, failure); },
        .token = [this](const EngineJob& job, std::uint32_t generated) { m_instances[job.instance]->token(job, generated); },
        .decodeFailed = [this](const EngineJob& job, FailureKind failure) { m_instances[job.instance]->decodeFailed(job, failure); },
        .aliveChanged = [this](std::size_t engine, bool alive) { aliveChanged(engine, alive); },
    });
}

auto Simulation::sendCrashReports(std::size_t reporter, const ReportCrash& report) -> void
{
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        if (index != reporter)
            m_instances[index]->handleEvent(CrashReported { report.signature, report.replica, reporter < index });
    }
}

auto Simulation::settingsFor(std::size_t instance, ZoneId zone) const -> ShardSettings
{
    const auto& workload = m_cell.workload;
    ShardSettings settings;
    settings.seed = m_cell.plan.seed * 1'000 + instance;
    settings.localZone = zone;
    settings.wastedPrefillWeight = m_cell.wastedPrefillWeight.value_or(workload.wastedPrefillWeight);
    for (const auto& kind : workload.kinds)
        settings.kinds.push_back(kind.kind);
    settings.customerWeights = workload.customerWeights;
    settings.customerQueueLimits.assign(workload.customerWeights.size(), 1'000);
    settings.kvBytesPerToken = workload.engines.kvBytesPerToken;
    settings.prefixBlockTokens = workload.engines.prefixBlockTokens;
    settings.instanceCount = static_cast<std::uint32_t>(m_firstInstanceOfZone.back() + workload.entryInstances.back());
    return settings;
}

auto Simulation::addInstances() -> void
{
    std::vector<ZoneId> zones;
    const auto& byZone = m_cell.workload.entryInstances;
    for (std::size_t zone = 0; zone < byZone.size(); ++zone) {
        m_firstInstanceOfZone.push_back(zones.size());
        zones.insert(zones.end(), byZone[zone], ZoneId { static_cast<std::uint16_t>(zone) });
    }
    m_engines.setInstanceZones(zones);
    m_slots.initialize(m_engines.all(), zones);
    const EntryInstance::Environment environment { m_events, m_engines, m_network, m_cell.workload, m_metrics, m_callerListener };
    for (std::size_t index = 0; index < zones.size(); ++index)
        m_instances.push_back(std::make_unique<EntryInstance>(index, zones[index], m_cell.arm.makeRouter(settingsFor(index, zones[index])), environment));
    for (std::size_t engine = 0; engine < m_engines.all().size(); ++engine)
        publishReplicaState(engine, ReplicaState::Live);
}

auto Simulation::publishReplicaState(std::size_t engine, ReplicaState state) -> void
{
    for (std::size_t instance = 0; instance < m_instances.size(); ++instance)
        sendReplicaState(instance, engine, state);
}

auto Simulation::sendReplicaState(std::size_t instance, std::size_t engine, ReplicaState state) -> void
{
    const auto& parameters = m_cell.workload.engines;
    const auto& target = m_engines.all()[engine];
    const auto slots = m_slots.slots(instance, engine);
    if (slots == 0 && m_cell.sharing == Sharing::Owner)
        return;
    const auto wholeSlots = target.role == PoolRole::Prefill ? parameters.prefillSlots : parameters.decodeSlots;
    m_instances[instance]->handleEvent(ReplicaChanged {
        .replica = ReplicaId { static_cast<std::uint32_t>(engine) },
        .role = target.role,
        .zone = target.zone,
        .state = state,
        .slots = slots,
        .memoryBlocks = parameters.memoryBlocks * slots / wholeSlots,
        .memoryBlockTokens = parameters.memoryBlockTokens,
        .linkBytesPerSecond = parameters.linkBytesPerSecond,
    });
}

auto Simulation::aliveChanged(std::size_t engine, bool alive) -> void
{
    m_events.after(instanceListLag, [this, engine, alive] {
        // The engine may have restarted before the list shows the outage.
        if (m_engines.all()[engine].alive == alive)
            publishReplicaState(engine, alive ? ReplicaState::Live : ReplicaState::Gone);
    });
}

auto Simulation::scheduleFaults() -> void
{
    for (const auto& outage : m_faults.outages) {
        m_events.at(outage.at, [this, outage] { m_engines.terminate(outage.engine); });
        m_events.at(outage.until, [this, outage] { m_engines.restart(outage.engine); });
    }
    if (m_faults.zonePartition) {
        m_events.at(m_faults.zonePartition->interval.from, [this] {
            m_engines.handlePartition(m_faults.zonePartition->zone);
            for (const auto& instance : m_instances)
                instance->handlePartition();
        });
    }
}

auto Simulation::instanceFor(std::size_t caller) const -> std::size_t
{
    const auto& request = m_requests[caller];
    const auto zone = static_cast<std::size_t>(request.zone);
    // A repeat may reach a different instance of the zone.
    const auto draw = request.instanceDraw + static_cast<std::uint64_t>(m_sentRequests[caller].id);
    return m_firstInstanceOfZone[zone] + draw % m_cell.workload.entryInstances[zone];
}

auto Simulation::send(std::size_t caller) -> void
{
    const auto& request = m_requests[caller];
    const auto receiver = instanceFor(caller);
    const auto target = m_slots.chooseInstance(receiver);
    const auto id = RequestId { m_nextRequest++ };
    m_sentRequests[caller] = { id, target };
    if (target != receiver)
        ++m_metrics.sharingMessages;
    const auto forwardingDelay = target == receiver ? Duration::zero() : forwardingLatency;
    m_events.after(forwardingDelay, [this, caller, id, target] { m_instances[target]->arrive(id, caller, m_requests[caller]); });
    if (!request.cancelAfter)
        return;
    m_events.at(request.arrival + *request.cancelAfter, [this, caller] {
        m_callers.handleCancelled(caller);
        m_instances[m_sentRequests[caller].instance]->cancel(m_sentRequests[caller].id);
    });
}

auto Simulation::scheduleEvery(Duration interval, std::function<void()> callback) -> void
{
    m_events.after(interval, [this, interval, callback = std::move(callback)] {
        if (!m_running)
            return;
        callback();
        scheduleEvery(interval, callback);
    });
}

auto Simulation::reportLoads() -> void
{
    ++m_reportSequence;
    for (std::size_t engine = 0; engine < m_engines.all().size(); ++engine) {
        if (!m_engines.all()[engine].alive)
            continue;
        for (std::size_t instance = 0; instance < m_instances.size(); ++instance)
            reportLoad(engine, instance);
    }
}

auto Simulation::reportLoad(std::size_t engine, std::size_t instance) -> void
{
    const auto& target = m_engines.all()[engine];
    if (!m_network.reachable(target.zone, m_instances[instance]->zone()) || (m_cell.sharing == Sharing::Owner && m_slots.slots(instance, engine) == 0))
        return;
    const auto parameters = m_cell.workload.engines;
    auto running = target.prefill ? target.prefill->running() : target.decode->running();
    auto freeMemoryBlocks = parameters.memoryBlocks - (target.prefill ? target.prefill->usedMemoryBlocks() : target.decode->usedMemoryBlocks());
    auto held = target.prefill ? target.prefill->held(instance) : target.decode->held(instance);
    if (m_slots.isPartitioned(engine)) {
        // If the slots are partitioned, an instance sees only its own share of the engine.
        const auto memoryBlocks = parameters.memoryBlocks * m_slots.slots(instance, engine) / parameters.decodeSlots;
        running = static_cast<std::uint32_t>(held.size());
        freeMemoryBlocks = memoryBlocks - std::min(memoryBlocks, m_instances[instance]->memoryBlocksUsed(engine));
    }
    ReplicaLoad load {
        .replica = ReplicaId { static_cast<std::uint32_t>(engine) },
        .sequence = m_reportSequence,
        .asOf = m_events.now(),
        .running = running,
        .waiting = 0,
        .freeMemoryBlocks = freeMemoryBlocks,
        .held = std::move(held),
    };
    const auto lag = m_faults.slowLoadReports.contains(m_events.now()) ? m_faults.slowLoadReportLag : m_faults.loadReportLag;
    m_events.after(lag, [this, instance, load = std::move(load)] { m_instances[instance]->handleEvent(load); });
}

auto Simulation::reportCaches() -> void
{
    for (std::size_t engine = 0; engine < m_engines.all().size(); ++engine) {
        const auto& target = m_engines.all()[engine];
        if (!target.prefill)
            continue;
        const auto replica = ReplicaId { static_cast<std::uint32_t>(engine) };
        auto changes = target.prefill->cache().drainChanges();
        if (changes.lastSequence < changes.firstSequence)
            continue;
        const CacheEvents batch { replica, changes.firstSequence, changes.lastSequence, std::move(changes.stored), std::move(changes.evicted) };
        for (const auto& instance : m_instances) {
            const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.lostCacheEventShare;
            if (!lost && m_network.reachable(target.zone, instance->zone())) {
                m_events.after(m_faults.cacheEventLag, [&instance, batch] { instance->handleEvent(batch); });
                continue;
            }
            m_events.after(cacheResyncDelay, [this, &instance, engine, replica] {
                auto whole = m_engines.all()[engine].prefill->cache().snapshot();
                instance->handleEvent(CacheEvents { replica, whole.firstSequence, whole.lastSequence, std::move(whole.stored), {} });
            });
        }
    }
}

auto Simulation::shareSlots() -> void
{
    for (const auto engine : m_slots.update(m_instances)) {
        m_metrics.sharingMessages += messagesPerLeaseMove;
        if (m_engines.all()[engine].alive)
            publishReplicaState(engine, ReplicaState::Live);
    }
}

auto Simulation::run() -> Metrics
{
    scheduleEvery(loadReportInterval, [this] { reportLoads(); });
    scheduleEvery(cacheEventInterval, [this] { reportCaches(); });
    scheduleEvery(slotSharingInterval, [this] { shareSlots(); });
    scheduleEvery(tickInterval, [this] {
        for (const auto& instance : m_instances)
            instance->handleEvent(Tick {});
    });
    m_callers.start();
    const auto stop = TimePoint {} + m_cell.plan.length + maxTimeAfterLastArrival;
    while (m_callers.pendingCount() > 0 && m_events.now() < stop)
        m_events.runUntil(m_events.now() + 100ms);
    m_events.runUntil(m_events.now() + memoryReleaseTime);
    m_running = false;
    m_metrics.heldMemoryBlocks = m_engines.heldMemoryBlocks();
    m_callers.finish();
    return std::move(m_metrics);
}

auto runCell(const Cell& cell) -> CellResult
{
    const auto faults = makeFaults(cell.workload, cell.plan.length, cell.faults);
    const auto requests = generateRequests(cell.workload, faults, cell.plan);
    Simulation simulation(cell, faults, requests);
    return { simulation.run(), clairvoyantBound(cell.workload, faults, requests, cell.plan.length), capacity(cell.workload) };
}

}
