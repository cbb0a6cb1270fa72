#include "Engines.h"

#include <algorithm>
#include <utility>

namespace jayhold::bench {

namespace {

/// Time after which an attempt to open a connection fails.
constexpr Duration connectTimeout = std::chrono::milliseconds(200);
/// Time after which an engine detects a network partition between itself and an entry instance.
constexpr Duration partitionDetectionTime = std::chrono::milliseconds(500);

}

Engines::Engines(EventQueue& events, const Workload& workload, const Faults& faults, const Network& network, Metrics& metrics, std::uint64_t seed)
    : m_events(events)
    , m_workload(workload)
    , m_faults(faults)
    , m_network(network)
    , m_metrics(metrics)
    , m_random(seed)
{
    const auto add = [&](PoolRole role, const std::vector<std::uint32_t>& byZone) {
        for (std::size_t zone = 0; zone < byZone.size(); ++zone) {
            for (std::uint32_t index = 0; index < byZone[zone]; ++index)
                addEngine(role, ZoneId { static_cast<std::uint16_t>(zone) });
        }
    };
    add(PoolRole::Prefill, workload.prefillEngines);
    add(PoolRole::Decode, workload.decodeEngines);
}

auto Engines::addEngine(PoolRole role, ZoneId zone) -> void
{
    const auto index = m_engines.size();
    Engine engine { .role = role, .zone = zone };
    if (role == PoolRole::Prefill)
        engine.prefill = std::make_unique<PrefillEngine>(m_events, m_workload.engines, makePrefillCallbacks(index));
    else
        engine.decode = std::make_unique<DecodeEngine>(m_events, m_workload.engines, makeDecodeCallbacks(index));
    m_engines.push_back(std::move(engine));
}

auto Engines::makePrefillCallbacks(std::size_t engine) -> PrefillEngine::Callbacks
{
    return {
        .done = [this, engine](const EngineJob& job, std::uint32_t cachedTokens, TimePoint expiresAt) { m_events.after(delay(job.instance, engine), [this, engine, job, cachedTokens, expiresAt] {
                                                                                                            if (reachableFrom(job.instance, engine))
                                                                                                                m_listener.prefillDone(job, cachedTokens, expiresAt);
                                                                                                        }); },
        .computed = [this](const EngineJob& job, std::uint32_t tokens) {
            m_metrics.prefillTokens += tokens;
            m_metrics.unusedPrefills[{ job.request, job.attempt }] += tokens; },
        .expired = [this](const EngineJob&) { ++m_metrics.expiredResults; },
    };
}

auto Engines::makeDecodeCallbacks(std::size_t engine) -> DecodeEngine::Callbacks
{
    return {
        .token = [this, engine](const EngineJob& job, std::uint32_t generated) {
            if (reachableFrom(job.instance, engine))
                m_listener.token(job, generated); },
        .preempted = [this, engine](const EngineJob& job) {
            ++m_metrics.preempted;
            failDecode(job, engine, FailureKind::ServerError); },
        .crashed = [this, engine] {
            ++m_metrics.engineCrashes;
            terminate(engine);
            m_events.after(m_faults.restartTime, [this, engine] { restart(engine); }); },
    };
}

auto Engines::reachableFrom(std::size_t instance, std::size_t engine) const -> bool
{
    return m_network.reachable(m_instanceZones[instance], m_engines[engine].zone);
}

auto Engines::delay(std::size_t instance, std::size_t engine) const -> Duration
{
    return m_network.latency(m_instanceZones[instance], m_engines[engine].zone);
}

auto Engines::startPrefill(const EngineJob& job, ReplicaId replica) -> void
{
    const auto engine = static_cast<std::size_t>(replica);
    m_events.after(delay(job.instance, engine), [this, job, engine] { acceptPrefill(job, engine); });
}

auto Engines::acceptPrefill(const EngineJob& job, std::size_t engine) -> void
{
    if (!reachableFrom(job.instance, engine)) {
        m_events.after(connectTimeout, [this, job] { m_listener.prefillFailed(job, FailureKind::NotConnected); });
        return;
    }
    if (!m_engines[engine].alive) {
        failPrefill(job, engine, FailureKind::NotConnected);
        return;
    }
    if (!m_engines[engine].prefill->submit(job)) {
        ++m_metrics.prefillRefusals;
        failPrefill(job, engine, FailureKind::Busy);
    }
}

auto Engines::startDecode(const EngineJob& job, Attempt prefillAttempt, ReplicaId prefill, ReplicaId decode) -> void
{
    const auto target = static_cast<std::size_t>(decode);
    m_events.after(delay(job.instance, target), [this, job, prefillAttempt, prefill, target] {
        acceptDecode(job, prefillAttempt, static_cast<std::size_t>(prefill), target);
    });
}

auto Engines::acceptDecode(const EngineJob& job, Attempt prefillAttempt, std::size_t prefill, std::size_t decode) -> void
{
    if (!reachableFrom(job.instance, decode)) {
        m_events.after(connectTimeout, [this, job] { m_listener.decodeFailed(job, FailureKind::NotConnected); });
        return;
    }
    auto& target = m_engines[decode];
    if (!target.alive) {
        failDecode(job, decode, FailureKind::NotConnected);
        return;
    }
    if (!target.decode->submit(job)) {
        ++m_metrics.decodeRefusals;
        failDecode(job, decode, FailureKind::Busy);
        return;
    }
    if (!m_engines[prefill].alive || !m_engines[prefill].prefill->pin(job.request, prefillAttempt)) {
        ++m_metrics.missingResults;
        target.decode->cancel(job.request, job.attempt);
        failDecode(job, decode, FailureKind::KvExpired);
        return;
    }
    beginTransfer({ job, prefillAttempt, prefill, decode, 0 });
}

auto Engines::beginTransfer(Transfer transfer) -> void
{
    auto& link = m_engines[transfer.prefill].prefill->link();
    const auto bytes = static_cast<double>(transfer.job.promptTokens) * static_cast<double>(m_workload.engines.kvBytesPerToken);
    transfer.link = link.start(bytes, [this, request = transfer.job.request, attempt = transfer.job.attempt] { finishTransfer(request, attempt); });
    const bool reachable = m_network.reachable(m_engines[transfer.prefill].zone, m_engines[transfer.decode].zone);
    if (!reachable || std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.stalledTransferShare)
        link.stall(transfer.link);
    m_transfers.push_back(transfer);
}

auto Engines::finishTransfer(RequestId request, Attempt attempt) -> void
{
    const auto found = std::ranges::find_if(m_transfers, [&](const Transfer& transfer) { return transfer.job.request == request && transfer.job.attempt == attempt; });
    if (found == m_transfers.end())
        return;
    const auto transfer = *found;
    m_transfers.erase(found);
    m_engines[transfer.prefill].prefill->release(request, transfer.prefillAttempt);
    m_engines[transfer.decode].decode->addToBatch(request, attempt);
}

auto Engines::abortTransfers(const std::function<bool(const Transfer&)>& isAffected, bool notifyInstance) -> void
{
    std::vector<Transfer> aborted;
    std::erase_if(m_transfers, [&](const Transfer& transfer) {
        const bool affected = isAffected(transfer);
        if (affected)
            aborted.push_back(transfer);
        return affected;
    });
    for (const auto& transfer : aborted) {
        m_engines[transfer.prefill].prefill->link().cancel(transfer.link);
        m_engines[transfer.prefill].prefill->release(transfer.job.request, transfer.prefillAttempt);
        if (!notifyInstance)
            continue;
        m_engines[transfer.decode].decode->cancel(transfer.job.request, transfer.job.attempt);
        failDecode(transfer.job, transfer.decode, FailureKind::KvExpired);
    }
}

auto Engines::cancel(std::size_t instance, RequestId request, ReplicaId replica) -> void
{
    const auto engine = static_cast<std::size_t>(replica);
    m_events.after(delay(instance, engine), [this, instance, request, engine] {
        if (reachableFrom(instance, engine))
            applyCancel(request, engine);
    });
}

auto Engines::applyCancel(RequestId request, std::size_t engine) -> void
{
    auto& target = m_engines[engine];
    if (target.decode) {
        abortTransfers([&](const Transfer& transfer) { return transfer.job.request == request && transfer.decode == engine; }, false);
        target.decode->cancel(request);
        return;
    }
    abortTransfers([&](const Transfer& transfer) { return transfer.job.request == request && transfer.prefill == engine; }, true);
    target.prefill->cancel(request);
}

auto Engines::failPrefill(const EngineJob& job, std::size_t engine, FailureKind failure) -> void
{
    m_events.after(delay(job.instance, engine), [this, job, failure] { m_listener.prefillFailed(job, failure); });
}

auto Engines::failDecode(const EngineJob& job, std::size_t engine, FailureKind failure) -> void
{
    m_events.after(delay(job.instance, engine), [this, job, failure] { m_listener.decodeFailed(job, failure); });
}

auto Engines::terminate(std::size_t engine) -> void
{
    auto& target = m_engines[engine];
    if (!target.alive)
        return;
    target.alive = false;
    if (target.prefill) {
        abortTransfers([&](const Transfer& transfer) { return transfer.prefill == engine; }, true);
        for (const auto& job : target.prefill->terminate())
            failPrefill(job, engine, FailureKind::ConnectionLost);
    } else {
        abortTransfers([&](const Transfer& transfer) { return transfer.decode == engine; }, false);
        for (const auto& job : target.decode->terminate())
            failDecode(job, engine, FailureKind::ConnectionLost);
    }
    m_listener.aliveChanged(engine, false);
}

auto Engines::restart(std::size_t engine) -> void
{
    if (std::exchange(m_engines[engine].alive, true))
        return;
    m_listener.aliveChanged(engine, true);
}

auto Engines::handlePartition(ZoneId zone) -> void
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        for (std::size_t instance = 0; instance < m_instanceZones.size(); ++instance) {
            if ((m_instanceZones[instance] == zone) == (m_engines[engine].zone == zone))
                continue;
            auto& target = m_engines[engine];
            // Engines and entry instances detect the partition independently. This is the side of the
            // engine.
            for (const auto request : target.decode ? target.decode->held(instance) : target.prefill->held(instance))
                m_events.after(partitionDetectionTime, [this, request, engine] { applyCancel(request, engine); });
        }
    }
    for (const auto& transfer : m_transfers) {
        if (!m_network.reachable(m_engines[transfer.prefill].zone, m_engines[transfer.decode].zone))
            m_engines[transfer.prefill].prefill->link().stall(transfer.link);
    }
}

auto Engines::heldMemoryBlocks() const -> std::uint64_t
{
    std::uint64_t memoryBlocks = 0;
    for (const auto& engine : m_engines)
        memoryBlocks += engine.prefill ? engine.prefill->usedMemoryBlocks() : engine.decode->usedMemoryBlocks();
    return memoryBlocks;
}

}
