#include "LeaseManager.h"

#include "Pause.h"
#include "StoreRevision.h"
#include "Tasks.h"

#include <algorithm>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Interval at which the state machine is polled for a due call; its deadlines are seconds away.
constexpr auto pollInterval = std::chrono::milliseconds(100);
/// The safety margin and the retry delay are a tenth of the lease time; the margin covers clocks that
/// run at different rates.
constexpr int leaseTimeDivisor = 10;

auto storedLease(const StoredObject& object) -> StoredLease
{
    return {
        .revision = object.revision,
        .history = std::max(object.history, historyOf(object.revision)),
        .grant = object.revision == 0 ? std::nullopt : leaseGrantFromJson(object.value),
    };
}

}

auto leaseSettings(std::string name, std::string holder, Duration leaseTime) -> LeaseSettings
{
    return { .name = std::move(name), .holder = std::move(holder), .leaseTime = leaseTime, .safetyMargin = leaseTime / leaseTimeDivisor, .renewBefore = leaseTime / 2, .retryDelay = leaseTime / leaseTimeDivisor };
}

LeaseManager::LeaseManager(LeaseEnvironment environment, LeaseSettings settings)
    : m_environment(std::move(environment))
    , m_lease { .settings = std::move(settings) }
{
}

auto LeaseManager::start() -> void
{
    spawnSupervised(m_environment.executor, m_environment.log, "keep lease " + m_lease.settings.name, [self = shared_from_this()] { return self->run(); });
}

auto LeaseManager::fencingNumber() const -> std::optional<std::int64_t>
{
    const std::lock_guard guard(m_lock);
    if (!holdsLease(m_lease, m_environment.now()))
        return std::nullopt;
    return m_lease.fencingNumber;
}

auto LeaseManager::heldUntil() const -> TimePoint
{
    const std::lock_guard guard(m_lock);
    return m_lease.heldUntil;
}

auto LeaseManager::release() -> void
{
    const std::lock_guard guard(m_lock);
    releaseLease(m_lease, m_environment.now());
}

auto LeaseManager::run() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto isEnding = false;
    while (!m_environment.isStopped() && !isEnding) {
        std::optional<LeaseAction> action;
        {
            const std::lock_guard guard(m_lock);
            const auto now = m_environment.now();
            action = nextLeaseCall(m_lease, now);
            isEnding = !action && !m_lease.isWanted && now >= m_lease.nextCallAt;
        }
        if (action)
            co_await call(std::move(*action));
        else
            co_await pause(pollInterval);
    }
    const std::lock_guard guard(m_lock);
    m_hasEnded = true;
}

auto LeaseManager::hasEnded() const -> bool
{
    const std::lock_guard guard(m_lock);
    return m_hasEnded;
}

auto LeaseManager::call(LeaseAction action) -> asio::awaitable<void>
{
    if (auto* written = std::get_if<WriteLease>(&action))
        co_await write(std::move(*written));
    else
        co_await read();
}

auto LeaseManager::read() -> asio::awaitable<void>
{
    const auto object = co_await m_environment.read();
    handleOutcome([&](TimePoint now) {
        if (object.has_value())
            handleLeaseRead(m_lease, now, checkedLease(*object));
        else
            handleLeaseCallFailure(m_lease, now);
    });
}

auto LeaseManager::write(WriteLease action) -> asio::awaitable<void>
{
    auto value = toJson(action.grant);
    const auto outcome = co_await m_environment.update(std::move(value), action.expectedRevision);
    handleOutcome([&](TimePoint now) {
        if (outcome.has_error())
            handleLeaseCallFailure(m_lease, now);
        else if (const auto* applied = std::get_if<UpdateApplied>(&*outcome))
            handleLeaseWritten(m_lease, now, applied->revision);
        else
            handleLeaseConflict(m_lease, now, checkedLease(std::get<UpdateConflict>(*outcome).current));
    });
}

auto LeaseManager::checkedLease(const StoredObject& object) -> StoredLease
{
    auto stored = storedLease(object);
    if (stored.history < m_lease.history)
        m_environment.log.record(LogLevel::Warning, "lease_response_outdated", { { "lease", m_lease.settings.name }, { "history", m_lease.history }, { "response_history", stored.history } });
    return stored;
}

auto LeaseManager::handleOutcome(const std::function<void(TimePoint)>& handle) -> void
{
    const std::lock_guard guard(m_lock);
    const auto now = m_environment.now();
    const auto history = m_lease.history;
    const auto observedAt = m_lease.observedAt;
    const auto fencingNumber = holdsLease(m_lease, now) ? m_lease.fencingNumber : 0;
    handle(now);
    if (observedAt != TimePoint() && m_lease.history != history)
        m_environment.log.record(LogLevel::Warning, "lease_store_restored", { { "lease", m_lease.settings.name }, { "history", m_lease.history }, { "previous_history", history }, { "held", fencingNumber != 0 }, { "fencing_number", fencingNumber }, { "given_up", fencingNumber != 0 && !holdsLease(m_lease, now) } });
    if (m_lease.observedAt != observedAt)
        logDelay(now);
}

auto LeaseManager::logDelay(TimePoint now) -> void
{
    const auto until = unknownHolderUntil(m_lease);
    if (!until)
        return;
    const auto fencingNumber = m_lease.observed ? m_lease.observed->fencingNumber : 0;
    m_environment.log.record(LogLevel::Info, "lease_delayed", { { "lease", m_lease.settings.name }, { "history", m_lease.history }, { "fencing_number", fencingNumber }, { "wait_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*until - now).count() } });
}

}
