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
/// The lease lasts for several orders' flights, so that it is seldom written.
constexpr int spacingsPerLease = 4;
/// Added to the spacing, for the time in which an order is on its way.
constexpr Duration flightMargin = std::chrono::milliseconds(500);
/// Time beyond the change itself in which the engine's work ends and the platform lists its new role.
constexpr Duration listingMargin = std::chrono::seconds(6);
/// Orders follow their announcement after this time. Until an instance has heard of it, it sends work
/// to engines that turn it away; instances of other zones get one message in three, which come 180 ms
/// apart at 61 instances.
constexpr Duration announcementTime = std::chrono::milliseconds(600);

}

RoleBalancer::RoleBalancer(EntryContext& context, ObjectStore& store, RoleBalancerSettings settings, RoleBalancerCallbacks callbacks)
    : m_context(context)
    , m_store(store)
    , m_settings(std::move(settings))
    , m_callbacks(std::move(callbacks))
{
    // The wait after a hand-over keeps the orders of two instances apart, also where engines refuse
    // old fencing numbers.
    m_gate.settings = { .maxOrderLatency = m_settings.minOrderInterval + flightMargin, .checksFencing = false };
}

auto RoleBalancer::start() -> void
{
    spawnSupervised(m_context.threads.context(0).get_executor(), m_context.log, "balance roles", [self = shared_from_this()] { return self->run(); });
}

auto RoleBalancer::backendsChangingRole() const -> std::vector<std::string>
{
    std::vector<std::string> backends;
    const auto now = monotonicNow();
    for (const auto& ordered : m_pendingRoleChanges) {
        if (now < ordered.until)
            backends.push_back(ordered.backend);
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
        const auto leaseTime = m_gate.settings.maxOrderLatency * spacingsPerLease;
        m_lease = std::make_shared<LeaseManager>(leasePort(), leaseSettings(std::string(leaseName), m_context.settings.instance + "/" + m_context.runId, leaseTime));
        m_lease->start();
    } else if (!isCandidate && m_lease) {
        m_lease->release();
    }
    const auto fencingNumber = m_lease ? m_lease->fencingNumber() : std::nullopt;
    if (fencingNumber.has_value() != m_hadLease) {
        m_hadLease = fencingNumber.has_value();
        m_context.log.record(LogLevel::Info, m_hadLease ? "lease_acquired" : "lease_lost", { { "lease", leaseName }, { "fencing_number", fencingNumber.value_or(m_gate.fencingNumber) } });
    }
    if (fencingNumber)
        handleLeaseAcquired(m_gate, bootTimeNow(), *fencingNumber);
}

auto RoleBalancer::leasePort() -> LeaseEnvironment
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

auto RoleBalancer::mayOrder() -> bool
{
    if (!m_lease || !m_lease->fencingNumber())
        return false;
    const auto step = nextOrderStep(m_gate, bootTimeNow(), m_lease->heldUntil());
    // The state of the engine is read before each order.
    return step != OrderStep::Wait;
}

auto RoleBalancer::balanceOnce() -> asio::awaitable<void>
{
    const auto now = monotonicNow();
    std::erase_if(m_pendingRoleChanges, [&](const PendingRoleChange& ordered) { return now >= ordered.until; });
    for (const auto& service : m_callbacks.modelServices()) {
        if (service->roleChangeTime() <= Duration::zero())
            continue;
        auto& balance = m_balances.try_emplace(service->name(), RoleBalance { .settings = m_settings.balance }).first->second;
        const auto demand = service->roleDemand();
        observeDemand(balance, now, demand);
        const auto change = m_pendingRoleChanges.empty() ? wantedRoleChange(balance, now, demand) : 0;
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
        announce(service, server.id, 2 * announcementTime);
    co_await pause(announcementTime);
    for (auto& server : servers) {
        if (mayOrder())
            co_await order(service, std::move(server), to);
    }
}

auto RoleBalancer::announce(ModelService& service, const std::string& backend, Duration time) -> void
{
    const auto until = monotonicNow() + time;
    std::erase_if(m_pendingRoleChanges, [&](const PendingRoleChange& ordered) { return ordered.backend == backend; });
    m_pendingRoleChanges.push_back({ backend, until });
    service.recordRoleChange(backend, until);
}

auto RoleBalancer::order(ModelService& service, BackendServer server, PoolRole role) -> asio::awaitable<void>
{
    auto& client = m_context.threads.client(0);
    const auto id = server.id;
    const auto state = co_await m_context.backends.orderState(client, server, orderTimeout);
    if (state.has_value())
        handleStateReadBack(m_gate);
    if (state.has_error() || state->isBusy) {
        m_context.log.record(LogLevel::Info, "role_order_skipped", { { "backend", id }, { "detail", state.has_error() ? state.error().detail : std::string("it carries out another order") } });
        co_return;
    }
    const auto fencingNumber = m_lease ? m_lease->fencingNumber() : std::nullopt;
    if (!fencingNumber || nextOrderStep(m_gate, bootTimeNow(), m_lease->heldUntil()) != OrderStep::Send)
        co_return;
    RoleOrder roleOrder { .role = role, .holder = m_context.settings.instance, .fencingNumber = *fencingNumber, .expectedSequence = state->sequence };
    handleOrderSent(m_gate, bootTimeNow());
    const auto error = co_await m_context.backends.orderRole(client, server, std::move(roleOrder), orderTimeout);
    const auto isAnswered = !error || error->failure == FailureKind::Busy || error->failure == FailureKind::NotConnected;
    if (isAnswered)
        handleOrderAnswered(m_gate);
    else
        handleOrderLost(m_gate, bootTimeNow());
    m_context.log.record(LogLevel::Info, "role_ordered", { { "service", service.name() }, { "backend", id }, { "to", name(role) }, { "fencing_number", *fencingNumber }, { "outcome", error ? error->detail : std::string("accepted") } });
    // Without an answer the order may have been accepted, or be carried out seconds later.
    if (error && isAnswered)
        co_return;
    announce(service, id, service.roleChangeTime() + listingMargin);
}

}
