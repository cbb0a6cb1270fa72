#pragma once

/// A lease on a name in the platform, as a pure state machine. The holder counts its deadline on
/// its own monotonic clock from before the call was sent, less a margin; everyone else waits for
/// the whole lease time from when it first saw the present grant, so that no two instances believe
/// to hold it at once. Each grant has a higher fencing number.

#include "StoredObject.h"
#include "Time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jayhold {

struct LeaseSettings {
    std::string name;
    /// Unique to this process, for example `id/incarnation`.
    std::string holder;
    Duration leaseTime = std::chrono::seconds(10);
    /// Allows for clocks that run at slightly different rates.
    Duration safetyMargin = std::chrono::seconds(1);
    /// Time before the deadline at which renewing begins.
    Duration renewBefore = std::chrono::seconds(5);
    Duration retryDelay = std::chrono::milliseconds(500);
};

/// The lease as it is stored.
struct LeaseGrant {
    std::string holder;
    std::int64_t fencingNumber = 0;
    /// Changes with every grant and renewal; recognises an update whose reply was lost.
    std::string attemptId;
    Duration leaseTime {};
    bool isReleased = false;

    auto operator==(const LeaseGrant&) const -> bool = default;
};

struct Lease {
    LeaseSettings settings;
    std::int64_t revision = 0;
    std::optional<LeaseGrant> observed;
    /// When the present revision was first seen here.
    TimePoint observedAt {};
    bool isCallInFlight = false;
    /// Before the open call was sent.
    TimePoint sentAt {};
    std::optional<LeaseGrant> proposed;
    /// The lease is held until then; in the past where it is not held.
    TimePoint heldUntil {};
    std::int64_t fencingNumber = 0;
    TimePoint nextCallAt {};
    std::uint64_t attempts = 0;
    bool isWanted = true;
};

/// Read the lease object.
struct ReadLease {
};

/// Write the lease object by conditional update.
struct WriteLease {
    std::int64_t expectedRevision;
    LeaseGrant grant;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

/// @return the next call, if one is due; its outcome must be given to one of the functions below.
auto nextLeaseCall(Lease& lease, TimePoint now) -> std::optional<LeaseAction>;

/// The object was read.
/// @param grant nothing where the object does not exist.
auto handleLeaseRead(Lease& lease, TimePoint now, std::int64_t revision, std::optional<LeaseGrant> grant) -> void;

/// The update took effect.
auto handleLeaseWritten(Lease& lease, TimePoint now, std::int64_t revision) -> void;

/// Another update came first.
auto handleLeaseConflict(Lease& lease, TimePoint now, std::int64_t revision, std::optional<LeaseGrant> grant) -> void;

/// The call failed; an update may have taken effect, which the next read shows.
auto handleLeaseCallFailure(Lease& lease, TimePoint now) -> void;

/// Must be asked immediately before each act under the lease, with the time of that moment: a
/// holder that was paused learns here that the lease has ended.
/// @return whether this instance holds the lease.
auto holdsLease(const Lease& lease, TimePoint now) -> bool;

/// Gives the lease up. The holder must not act under it from now on; the next call marks the grant
/// as released, so that the next holder need not wait.
auto releaseLease(Lease& lease, TimePoint now) -> void;

auto toJson(const LeaseGrant& grant) -> boost::json::value;
auto leaseGrantFromJson(const boost::json::value& value) -> std::optional<LeaseGrant>;

}
