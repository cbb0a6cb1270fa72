#pragma once

/// Orders engines to change their role when one role lacks replicas and the other has too many. Only the
/// instance that holds a lease sends orders, which carry the lease's fencing number. Each engine carries
/// out one order at a time, and an order that arrives late has no effect.

#include "EntryContext.h"
#include "LeaseManager.h"
#include "ModelService.h"
#include "ObjectStore.h"
#include "OrderFence.h"
#include "RoleBalance.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayhold {

struct RoleBalancerSettings {
    /// Kind of the store objects that hold leases.
    std::string leaseKind;
    /// Minimum time between the orders of two instances.
    Duration minOrderInterval = std::chrono::seconds(3);
    RoleBalanceSettings balance;
};

struct RoleBalancerCallbacks {
    std::function<std::vector<std::shared_ptr<ModelService>>()> modelServices;
    /// @return whether this instance should hold the lease.
    std::function<bool()> isCandidate;
};

class RoleBalancer : public std::enable_shared_from_this<RoleBalancer> {
public:
    RoleBalancer(EntryContext& context, ObjectStore& store, RoleBalancerSettings settings, RoleBalancerCallbacks callbacks);

    /// Starts the coroutine, which runs on the first I/O thread.
    auto start() -> void;

    /// @return backend servers whose role change is announced or was ordered recently; must be called on
    /// the first I/O thread.
    auto backendsChangingRole() const -> std::vector<std::string>;

private:
    /// A role change that is announced or was ordered recently.
    struct PendingRoleChange {
        std::string backend;
        TimePoint until;
    };

    auto run() -> boost::asio::awaitable<void>;
    auto balanceOnce() -> boost::asio::awaitable<void>;
    /// Acquires the lease when this instance becomes the candidate, and releases it when it no longer is.
    auto updateLease() -> void;
    auto leaseEnvironment() -> LeaseEnvironment;
    /// @return the step that the lease and the order fence allow now.
    auto nextStep() const -> OrderStep;
    /// @return whether orders may be sent now.
    auto mayOrder() const -> bool;
    auto changeRoles(ModelService& service, RoleBalance& balance, int change) -> boost::asio::awaitable<void>;
    /// Excludes a backend server from placement for the given time, here and, through the load exchange,
    /// at the peers.
    auto announce(ModelService& service, const std::string& backend, Duration time) -> void;
    auto order(ModelService& service, BackendServer server, PoolRole role) -> boost::asio::awaitable<void>;

    EntryContext& m_context;
    ObjectStore& m_store;
    const RoleBalancerSettings m_settings;
    const RoleBalancerCallbacks m_callbacks;
    std::shared_ptr<LeaseManager> m_lease;
    bool m_hadLease = false;
    OrderFence m_orderFence;
    std::map<std::string, RoleBalance> m_balances;
    std::vector<PendingRoleChange> m_pendingRoleChanges;
};

}
