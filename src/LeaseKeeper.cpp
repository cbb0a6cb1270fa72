#include "LeaseKeeper.h"

#include "MembershipOwners.h"

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// The machine is asked this often whether a call is due; its deadlines are seconds away.
constexpr auto checkInterval = std::chrono::milliseconds(100);
/// A tenth of the lease time covers clocks that run at different rates.
constexpr int marginParts = 10;

auto leaseSettings(const ClusterCore& core, std::string name, Duration leaseTime) -> LeaseSettings
{
    const std::lock_guard guard(core.lock);
    return { .name = std::move(name), .holder = holderName(core.membership), .leaseTime = leaseTime, .margin = leaseTime / marginParts, .renewBefore = leaseTime / 2, .retryPause = leaseTime / marginParts };
}

auto grantOf(const StoredObject& object) -> std::optional<LeaseGrant>
{
    return object.revision == 0 ? std::nullopt : leaseGrantFromJson(object.value);
}

}

LeaseKeeper::LeaseKeeper(ClusterPointer core, std::string name, Duration leaseTime)
    : m_core(std::move(core))
    , m_object("leases/" + name)
    , m_lease { .settings = leaseSettings(*m_core, std::move(name), leaseTime) }
{
}

auto LeaseKeeper::start() -> void
{
    spawnAtHome(m_core, run());
}

auto LeaseKeeper::fencingNumber() const -> std::optional<std::int64_t>
{
    const std::lock_guard guard(m_lock);
    if (!holdsLease(m_lease, monotonicNow()))
        return std::nullopt;
    return m_lease.fencingNumber;
}

auto LeaseKeeper::heldUntil() const -> TimePoint
{
    const std::lock_guard guard(m_lock);
    return m_lease.heldUntil;
}

auto LeaseKeeper::release() -> void
{
    const std::lock_guard guard(m_lock);
    releaseLease(m_lease, monotonicNow());
}

auto LeaseKeeper::run() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto isEnding = false;
    while (!m_core->isStopped && !isEnding) {
        std::optional<LeaseAction> action;
        {
            const std::lock_guard guard(m_lock);
            const auto now = monotonicNow();
            action = nextLeaseCall(m_lease, now);
            isEnding = !action && !m_lease.isWanted && now >= m_lease.nextCallAt;
        }
        if (action)
            co_await call(std::move(*action));
        else
            co_await pause(checkInterval);
    }
}

auto LeaseKeeper::call(LeaseAction action) -> asio::awaitable<void>
{
    if (auto* written = std::get_if<WriteLease>(&action))
        co_await write(std::move(*written));
    else
        co_await read();
}

auto LeaseKeeper::read() -> asio::awaitable<void>
{
    const auto object = co_await m_core->store.read(m_core->threads.client(0), m_object);
    const std::lock_guard guard(m_lock);
    if (object.has_value())
        leaseRead(m_lease, monotonicNow(), object->revision, grantOf(*object));
    else
        leaseFailed(m_lease, monotonicNow());
}

auto LeaseKeeper::write(WriteLease action) -> asio::awaitable<void>
{
    auto value = toJson(action.grant);
    const auto outcome = co_await m_core->store.update(m_core->threads.client(0), m_object, std::move(value), action.expectedRevision);
    const std::lock_guard guard(m_lock);
    const auto now = monotonicNow();
    if (outcome.has_error()) {
        leaseFailed(m_lease, now);
        co_return;
    }
    if (const auto* applied = std::get_if<UpdateApplied>(&*outcome)) {
        leaseWritten(m_lease, now, applied->revision);
        co_return;
    }
    const auto& current = std::get<UpdateConflict>(*outcome).current;
    leaseConflicted(m_lease, now, current.revision, grantOf(current));
}

}
