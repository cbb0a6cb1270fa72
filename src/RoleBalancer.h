#pragma once

/// Orders engines to change their role where one role lacks replicas and the other has too many. One
/// instance at a time does it, under a lease with a fencing number; each engine carries out one order
/// at a time, and an order that comes late does nothing.

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
    /// Kind of the store's objects that hold leases.
    std::string leaseKind;
    /// Time that must pass between the orders of two instances.
    Duration minOrderInterval = std::chrono::seconds(3);
    RoleBalanceSettings balance;
};

struct RoleBalancerCallbacks {
    std::function<std::vector<std::shared_ptr<ModelService>>()> modelServices;
    /// @return whether this instance is the one that should hold the lease.
    std::function<bool()> isCandidate;
};

class RoleBalancer : public std::enable_shared_from_this<RoleBalancer> {
public:
    RoleBalancer(EntryContext& context, ObjectStore& store, RoleBalancerSettings settings, RoleBalancerCallbacks callbacks);

    /// Starts the coroutine, which runs on the first I/O thread.
    auto start() -> void;

    /// @return backend servers that were lately ordered to change their role, or will be; must be called
    /// on the first I/O thread.
    auto backendsChangingRole() const -> std::vector<std::string>;

private:
    /// Ordered to change its role, or announced for an order.
    struct PendingRoleChange {
        std::string backend;
        TimePoint until;
    };

    auto run() -> boost::asio::awaitable<void>;
    auto balanceOnce() -> boost::asio::awaitable<void>;
    /// Seeks or gives up the lease as the candidate changes.
    auto updateLease() -> void;
    auto leasePort() -> LeaseEnvironment;
    /// @return whether orders may be sent now.
    auto mayOrder() -> bool;
    auto changeRoles(ModelService& service, RoleBalance& balance, int change) -> boost::asio::awaitable<void>;
    /// Tells the others not to use a backend server for some time.
    auto announce(ModelService& service, const std::string& backend, Duration time) -> void;
    auto order(ModelService& service, BackendServer server, PoolRole role) -> boost::asio::awaitable<void>;

    EntryContext& m_context;
    ObjectStore& m_store;
    const RoleBalancerSettings m_settings;
    const RoleBalancerCallbacks m_callbacks;
    std::shared_ptr<LeaseManager> m_lease;
    bool m_hadLease = false;
    OrderFence m_gate;
    std::map<std::string, RoleBalance> m_balances;
    std::vector<PendingRoleChange> m_pendingRoleChanges;
};

}
