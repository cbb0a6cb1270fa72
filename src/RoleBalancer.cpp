#include "RoleBalancer.h"

#include "Pause.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <cstdlib>

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr std::string_view leaseName = "roles";
constexpr Duration checkInterval = std::chrono::milliseconds(250);
constexpr Duration orderTimeout = std::chrono::milliseconds(500);
/// The lease lasts for several times the maximum order latency, so that it is rarely written.
constexpr int orderLatenciesPerLease = 4;
/// Added to the minimum order interval for the time in which an order is in flight.
constexpr Duration orderLatencyMargin = std::chrono::milliseconds(500);
/// Added to the time of the role change itself: the engine's requests end before it, and the platform's
/// instance list contains the new role some time after it.
constexpr Duration roleUpdateMargin = std::chrono::seconds(6);
/// Time from the announcement of role changes to their orders. Until a peer receives the announcement, it
/// sends work to engines that reject it. An instance sends load messages every 180 ms at 61 instances, and
/// each peer in another zone receives one in three.
constexpr Duration announcementLeadTime = std::chrono::milliseconds(600);

}

RoleBalancer::RoleBalancer(EntryContext& context, ObjectStore& store, RoleBalancerSettings settings, RoleBalancerCallbacks callbacks)
    : m_context(context)
    , m_store(store)
    , m_settings(std::move(settings))
    , m_callbacks(std::move(callbacks))
{
    // checksFencing is false even if the engines check. A new lease holder then waits before its first order,
    // which also keeps the minimum interval between the orders of two instances.
    m_orderFence.settings = { .maxOrderLatency = m_settings.minOrderInterval + orderLatencyMargin, .checksFencing = false };
}

auto RoleBalancer::start() -> void
{
    spawnSupervised(m_context.threads.context(0).get_executor(), m_context.log, "balance roles", [self = shared_from_this()] { return self->run(); });
}

auto RoleBalancer::backendsChangingRole() const -> std::vector<std::string>
{
    std::vector<std::string> backends;
    const auto now = monotonicNow();
    for (const auto& pending : m_pendingRoleChanges) {
        if (now < pending.until)
            backends.push_back(pending.backend);
    }
    return backends;
}

auto RoleBalancer::run() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    while (true) {
        co_await pause(checkInterval);
        updateLease();
        co_await balanceOnce();
    }
}

auto RoleBalancer::updateLease() -> void
{
    const auto isCandidate = m_callbacks.isCandidate() && !m_context.isDraining;
    if (m_lease && m_lease->hasEnded())
        m_lease.reset();
    if (isCandidate && !m_lease) {
        const auto leaseTime = m_orderFence.settings.maxOrderLatency * orderLatenciesPerLease;
        m_lease = std::make_shared<LeaseManager>(leaseEnvironment(), leaseSettings(std::string(leaseName), m_context.settings.instance + "/" + m_context.runId, leaseTime));
        m_lease->start();
    } else if (!isCandidate && m_lease) {
        m_lease->release();
    }
    const auto fencingNumber = m_lease ? m_lease->fencingNumber() : std::nullopt;
    const auto isNewGrant = fencingNumber && *fencingNumber != m_orderFence.fencingNumber;
    if (fencingNumber.has_value() != m_hadLease || isNewGrant) {
        m_hadLease = fencingNumber.has_value();
        m_context.log.record(LogLevel::Info, m_hadLease ? "lease_acquired" : "lease_lost", { { "lease", leaseName }, { "fencing_number", fencingNumber.value_or(m_orderFence.fencingNumber) } });
    }
    if (fencingNumber)
        handleLeaseAcquired(m_orderFence, bootTimeNow(), *fencingNumber);
}

auto RoleBalancer::leaseEnvironment() -> LeaseEnvironment
{
    const auto name = std::string(leaseName);
    return {
        .executor = m_context.threads.context(0).get_executor(),
        .read = [this, name] { return m_store.read(m_context.threads.client(0), m_settings.leaseKind, name); },
        .update = [this, name](boost::json::value value, std::int64_t revision) { return m_store.update(m_context.threads.client(0), m_settings.leaseKind, name, std::move(value), revision); },
        .now = bootTimeNow,
        .isStopped = [] { return false; },
        .log = m_context.log,
    };
}

auto RoleBalancer::nextStep() const -> OrderStep
{
    const auto fencingNumber = m_lease ? m_lease->fencingNumber() : std::nullopt;
    // Another instance may have held the lease between two grants, so the order fence must learn of the new one
    // and wait before an order is sent under it.
    if (!fencingNumber || *fencingNumber != m_orderFence.fencingNumber)
        return OrderStep::Wait;
    return nextOrderStep(m_orderFence, bootTimeNow(), m_lease->heldUntil());
}

auto RoleBalancer::mayOrder() const -> bool
{
    // ReadBack is allowed as well, because order() reads the engine's state before it sends.
    return nextStep() != OrderStep::Wait;
}

auto RoleBalancer::balanceOnce() -> asio::awaitable<void>
{
    const auto now = monotonicNow();
    std::erase_if(m_pendingRoleChanges, [&](const PendingRoleChange& pending) { return now >= pending.until; });
    for (const auto& service : m_callbacks.modelServices()) {
        if (service->roleChangeTime() <= Duration::zero())
            continue;
        auto& balance = m_balances.try_emplace(service->name(), RoleBalance { .settings = m_settings.balance }).first->second;
        const auto demand = service->roleDemand();
        observeDemand(balance, now, demand);
        const auto change = m_pendingRoleChanges.empty() ? desiredRoleChange(balance, now, demand) : 0;
        if (change != 0 && mayOrder())
            co_await changeRoles(*service, balance, change);
    }
}

auto RoleBalancer::changeRoles(ModelService& service, RoleBalance& balance, int change) -> asio::awaitable<void>
{
    const auto from = change > 0 ? PoolRole::Prefill : PoolRole::Decode;
    const auto to = change > 0 ? PoolRole::Decode : PoolRole::Prefill;
    auto servers = service.roleChangeCandidates(from);
    servers.resize(std::min<std::size_t>(servers.size(), static_cast<std::size_t>(std::abs(change))));
    m_context.log.record(LogLevel::Info, "role_change_decided", { { "service", service.name() }, { "to", name(to) }, { "count", servers.size() }, { "prefill_work", balance.prefillWork }, { "decode_work", balance.decodeWork } });
    recordRoleChange(balance, monotonicNow());
    for (const auto& server : servers)
        announce(service, server.id, 2 * announcementLeadTime);
    co_await pause(announcementLeadTime);
    for (auto& server : servers) {
        if (mayOrder())
            co_await order(service, std::move(server), to);
    }
}

auto RoleBalancer::announce(ModelService& service, const std::string& backend, Duration time) -> void
{
    const auto until = monotonicNow() + time;
    std::erase_if(m_pendingRoleChanges, [&](const PendingRoleChange& pending) { return pending.backend == backend; });
    m_pendingRoleChanges.push_back({ backend, until });
    service.recordRoleChange(backend, until);
}

auto RoleBalancer::order(ModelService& service, BackendServer server, PoolRole role) -> asio::awaitable<void>
{
    auto& client = m_context.threads.client(0);
    const auto id = server.id;
    const auto state = co_await m_context.backendProtocol.orderState(client, server, orderTimeout, m_context.handleNotice);
    if (state.has_value())
        handleStateReadBack(m_orderFence);
    if (state.has_error() || state->isBusy) {
        m_context.log.record(LogLevel::Info, "role_order_skipped", { { "backend", id }, { "detail", state.has_error() ? state.error().detail : std::string("it carries out another order") } });
        co_return;
    }
    if (nextStep() != OrderStep::Send)
        co_return;
    const auto fencingNumber = m_orderFence.fencingNumber;
    RoleOrder roleOrder { .role = role, .holder = m_context.settings.instance, .fencingNumber = fencingNumber, .expectedSequence = state->sequence };
    handleOrderSent(m_orderFence, bootTimeNow());
    const auto error = co_await m_context.backendProtocol.orderRole(client, server, std::move(roleOrder), orderTimeout, m_context.handleNotice);
    const auto isOutcomeKnown = !error || error->failure == FailureKind::Busy || error->failure == FailureKind::NotConnected;
    if (isOutcomeKnown)
        handleOrderReply(m_orderFence);
    else
        handleOrderLost(m_orderFence, bootTimeNow());
    m_context.log.record(LogLevel::Info, "role_ordered", { { "service", service.name() }, { "backend", id }, { "to", name(role) }, { "fencing_number", fencingNumber }, { "outcome", error ? error->detail : std::string("accepted") } });
    // An order without a definite response may have been accepted or may take effect seconds later, so the
    // backend server stays excluded as after an accepted order.
    if (error && isOutcomeKnown)
        co_return;
    announce(service, id, service.roleChangeTime() + roleUpdateMargin);
}

}
