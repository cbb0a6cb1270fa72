#include "EngineMonitor.h"

#include "AwaitToken.h"
#include "JitteredDelay.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Orphaned memory is reclaimed after two polls plus the lag of the load report. With four polls per
/// second, that is less than the two seconds that the design allows.
constexpr Duration pollInterval = std::chrono::milliseconds(250);
constexpr Duration pollTimeout = std::chrono::milliseconds(500);

}

struct EngineMonitor::Poll {
    ReplicaId replica;
    HttpClient& client;
    OrphanDetector orphanDetector;
    std::uint64_t lastCacheEvent = 0;
};

EngineMonitor::EngineMonitor(EntryContext& context, std::shared_ptr<ModelService> service, ReclaimCheck shouldReclaimFor)
    : m_context(context)
    , m_service(std::move(service))
    , m_shouldReclaimFor(std::move(shouldReclaimFor))
{
}

auto EngineMonitor::refresh() -> void
{
    for (const auto& status : m_service->replicas()) {
        const std::lock_guard guard(m_lock);
        if (!m_polled.insert(status.id).second)
            continue;
        const auto thread = m_context.threads.nextIndex();
        spawnSupervised(m_context.threads.context(thread).get_executor(), m_context.log, "poll engine " + status.backend.id, [self = shared_from_this(), id = status.id, thread] { return self->run(id, thread); });
    }
}

auto EngineMonitor::run(ReplicaId replica, std::size_t thread) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    Poll poll { replica, m_context.threads.client(thread) };
    asio::steady_timer timer(m_context.threads.context(thread));
    while (!m_isStopped) {
        const auto status = m_service->replica(replica);
        if (!status)
            break;
        co_await pollOnce(poll, *status);
        timer.expires_after(jitteredDelay(pollInterval));
        boost::system::error_code code;
        co_await timer.async_wait(awaitInto(code));
    }
    const std::lock_guard guard(m_lock);
    m_polled.erase(replica);
}

auto EngineMonitor::pollOnce(Poll& poll, const ReplicaStatus& status) -> asio::awaitable<void>
{
    const auto asOf = monotonicNow();
    const auto load = co_await m_context.backendProtocol.load(poll.client, status.backend.endpoint, pollTimeout);
    if (load.has_error())
        co_return;
    m_service->recordLoad(poll.replica, *load, asOf);
    co_await reclaim(poll, status, *load);
    if (status.role == PoolRole::Prefill)
        co_await pollCache(poll, status);
}

auto EngineMonitor::pollCache(Poll& poll, const ReplicaStatus& status) -> asio::awaitable<void>
{
    const auto batch = co_await m_context.backendProtocol.cacheEvents(poll.client, status.backend.endpoint, poll.lastCacheEvent, pollTimeout);
    if (batch.has_error() || batch->lastSequence == 0)
        co_return;
    poll.lastCacheEvent = batch->lastSequence;
    CacheEvents event { poll.replica, batch->firstSequence, batch->lastSequence, batch->stored, batch->evicted };
    m_service->handleEvent(event);
}

auto EngineMonitor::reclaim(Poll& poll, const ReplicaStatus& status, const EngineLoad& load) -> asio::awaitable<void>
{
    const auto cancels = poll.orphanDetector.findOrphans(load, [&](const HeldRequest& held) { return isOrphaned(status, held); });
    for (const auto& requestId : cancels) {
        m_service->metrics().reclaimed.fetch_add(1, std::memory_order_relaxed);
        m_context.log.record(LogLevel::Info, "engine_memory_reclaimed", { { "request", requestId }, { "service", m_service->name() }, { "backend", status.backend.id } });
        co_await m_context.backendProtocol.cancel(poll.client, status.backend.endpoint, requestId);
    }
}

auto EngineMonitor::isOrphaned(const ReplicaStatus& status, const HeldRequest& held) -> bool
{
    if (held.owner == m_context.settings.instance)
        return !m_service->isActiveAttempt(status.id, held.requestId);
    return m_shouldReclaimFor(held.owner, status.backend.id);
}

}
