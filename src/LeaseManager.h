#pragma once

/// Keeps one lease in the platform for as long as it is wanted: the thin driver of the lease state
/// machine. Members are thread-safe.

#include "Lease.h"
#include "LeaseEnvironment.h"

#include <memory>
#include <mutex>

namespace jayhold {

class LeaseManager : public std::enable_shared_from_this<LeaseManager> {
public:
    LeaseManager(LeaseEnvironment port, LeaseSettings settings);

    /// Starts acquiring and renewing; runs until release() has been stored or the node ends.
    auto start() -> void;

    /// Must be asked immediately before each act under the lease.
    /// @return the fencing number while the lease is held, otherwise nothing.
    auto fencingNumber() const -> std::optional<std::int64_t>;

    /// @return until when the lease is held, on the clock of the port; in the past where it is not.
    auto heldUntil() const -> TimePoint;

    /// Gives the lease up, so that another instance need not wait for its end.
    auto release() -> void;

    /// @return whether start()'s work is over, after a release.
    auto hasEnded() const -> bool;

private:
    auto run() -> boost::asio::awaitable<void>;
    auto call(LeaseAction action) -> boost::asio::awaitable<void>;
    auto read() -> boost::asio::awaitable<void>;
    auto write(WriteLease action) -> boost::asio::awaitable<void>;

    const LeaseEnvironment m_port;
    mutable std::mutex m_lock;
    Lease m_lease;
    bool m_hasEnded = false;
};

/// @param holder unique to this process.
auto leaseSettings(std::string name, std::string holder, Duration leaseTime) -> LeaseSettings;

}
