#pragma once

/// Acquires a lease in the platform's store and renews it until it is released: the driver of the
/// lease state machine. Members are thread-safe.

#include "Lease.h"
#include "LeaseEnvironment.h"

#include <functional>
#include <memory>
#include <mutex>

namespace jayhold {

class LeaseManager : public std::enable_shared_from_this<LeaseManager> {
public:
    LeaseManager(LeaseEnvironment environment, LeaseSettings settings);

    /// Starts acquiring and renewing; runs until a release has been stored or the node stops.
    auto start() -> void;

    /// Must be called immediately before each action that requires the lease.
    /// @return the fencing number while the lease is held, otherwise nothing.
    auto fencingNumber() const -> std::optional<std::int64_t>;

    /// @return until when the lease is held, on the clock of the environment; in the past if it is not.
    auto heldUntil() const -> TimePoint;

    /// Releases the lease, so that another instance need not wait for it to expire.
    auto release() -> void;

    /// @return whether the coroutine of start() has ended.
    auto hasEnded() const -> bool;

private:
    auto run() -> boost::asio::awaitable<void>;
    auto call(LeaseAction action) -> boost::asio::awaitable<void>;
    auto read() -> boost::asio::awaitable<void>;
    auto write(WriteLease action) -> boost::asio::awaitable<void>;
    /// @return the lease in a response. Logs a response of an earlier history, which the state machine ignores.
    auto checkedLease(const StoredObject& object) -> StoredLease;
    /// Passes the outcome of a call to the state machine, and logs a restore of the store that it shows.
    auto handleOutcome(const std::function<void(TimePoint)>& handle) -> void;
    /// Logs that the lease can't be acquired yet because of a holder whose grant the store may have lost.
    auto logDelay(TimePoint now) -> void;

    const LeaseEnvironment m_environment;
    mutable std::mutex m_lock;
    Lease m_lease;
    bool m_hasEnded = false;
};

/// @param holder unique to this process.
auto leaseSettings(std::string name, std::string holder, Duration leaseTime) -> LeaseSettings;

}
