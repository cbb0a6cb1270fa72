#pragma once

/// A lease on a named object of the platform's store, as a pure state machine. The holder measures the
/// lease time on its own monotonic clock from before the call was sent, minus a safety margin. All other
/// instances wait for the whole lease time from when they first observed the current grant, so that no
/// two instances act as the holder at the same time. Each new grant has a higher fencing number.
///
/// The store may be restored from an older copy, which begins a new history and may lose the current grant. A
/// holder that learns of it stops. An instance acquires the lease only after it has observed, for the whole
/// lease time, the same object or that none exists in the new history; by then a holder that is cut off from
/// the store has stopped by its own deadline.

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
    /// Covers clocks that run at slightly different rates.
    Duration safetyMargin = std::chrono::seconds(1);
    /// Time before the deadline at which renewal starts.
    Duration renewBefore = std::chrono::seconds(5);
    Duration retryDelay = std::chrono::milliseconds(500);
};

/// The lease as stored.
struct LeaseGrant {
    std::string holder;
    /// After a restore of the store it is derived from a revision (StoreRevision.h), whose upper bits hold the
    /// history. Up to history 8191 it stays below 2^53, so that engines that parse it as a double keep it exact.
    std::int64_t fencingNumber = 0;
    /// Changes with every grant and renewal; identifies an update whose reply was lost.
    std::string attemptId;
    Duration leaseTime {};
    bool isReleased = false;

    auto operator==(const LeaseGrant&) const -> bool = default;
};

/// The lease object in a response of the store.
struct StoredLease {
    /// 0 if the object does not exist.
    std::int64_t revision = 0;
    /// The store's history at the time of the response; 0 if the store names none.
    std::int64_t history = 0;
    /// Nothing if the object does not exist or can't be parsed.
    std::optional<LeaseGrant> grant;
};

struct Lease {
    LeaseSettings settings;
    /// The store's latest history in a response.
    std::int64_t history = 0;
    std::int64_t revision = 0;
    std::optional<LeaseGrant> observed;
    /// When this instance first observed the current revision in the current history.
    TimePoint observedAt {};
    bool isCallInFlight = false;
    /// Time just before the call in flight was sent.
    TimePoint sentAt {};
    std::optional<LeaseGrant> proposed;
    /// The lease is held until then; in the past if it is not held.
    TimePoint heldUntil {};
    std::int64_t fencingNumber = 0;
    TimePoint nextCallAt {};
    std::uint64_t attempts = 0;
    bool isWanted = true;
};

/// Action: read the lease object.
struct ReadLease {
};

/// Action: write the lease object by a conditional update.
struct WriteLease {
    std::int64_t expectedRevision;
    LeaseGrant grant;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

/// @return the next call, if one is due; its outcome must be passed to one of the functions below.
auto nextLeaseCall(Lease& lease, TimePoint now) -> std::optional<LeaseAction>;

/// Handles a successful read. A response from an earlier history than a previous one counts as a failed call.
auto handleLeaseRead(Lease& lease, TimePoint now, StoredLease stored) -> void;

/// Handles an update that took effect.
/// @param revision revision of the object after the update, which includes the store's history.
auto handleLeaseWritten(Lease& lease, TimePoint now, std::int64_t revision) -> void;

/// Handles an update that was rejected because another one came first.
auto handleLeaseConflict(Lease& lease, TimePoint now, StoredLease stored) -> void;

/// Handles a failed call. An update may have taken effect, which the next read shows.
auto handleLeaseCallFailure(Lease& lease, TimePoint now) -> void;

/// A restored store may have lost the current grant. Its holder renewed it before the restore, which was before
/// this instance observed the object, or its absence, in the new history.
/// @return until when an unknown holder may act; nothing if the stored grant, or its absence, is reliable.
auto unknownHolderUntil(const Lease& lease) -> std::optional<TimePoint>;

/// Must be called with the current time immediately before each action that requires the lease, so
/// that a holder that was suspended detects that the lease has expired.
/// @return whether this instance holds the lease.
auto holdsLease(const Lease& lease, TimePoint now) -> bool;

/// Releases the lease. The holder must not act under it from now on. The next call marks the grant as
/// released, so that the next holder need not wait for it to expire.
auto releaseLease(Lease& lease, TimePoint now) -> void;

auto toJson(const LeaseGrant& grant) -> boost::json::value;
auto leaseGrantFromJson(const boost::json::value& value) -> std::optional<LeaseGrant>;

}
