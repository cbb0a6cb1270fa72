#include "Lease.h"

#include "StoreRevision.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace jayhold {

namespace json = boost::json;

namespace {

/// A longer lease could block its object for ever and overflow Duration.
constexpr std::int64_t maxLeaseMilliseconds = 3'600'000;
/// Leaves room for the increments of all later holders.
constexpr std::int64_t maxFencingNumber = 1'000'000'000'000'000'000;

/// The store may name its first history 0 or 1. A process that starts in history 1 can't tell whether that is
/// the first, so it waits as after a restore.
constexpr std::int64_t lastHistoryWithoutRestore = 0;

/// Handles a restore of the store. Another instance may have acquired the lease after the copy was made, and
/// the store has lost its grant, so nothing that was held, proposed or observed before still counts.
auto handleRestore(Lease& lease, std::int64_t history) -> void
{
    lease.history = history;
    lease.observedAt = {};
    lease.proposed.reset();
    lease.heldUntil = {};
    lease.fencingNumber = 0;
}

auto recordObserved(Lease& lease, TimePoint now, StoredLease stored) -> void
{
    if (stored.history > lease.history)
        handleRestore(lease, stored.history);
    if (stored.revision == lease.revision && lease.observedAt != TimePoint())
        return;
    lease.revision = stored.revision;
    lease.observed = std::move(stored.grant);
    lease.observedAt = now;
}

/// @return whether the observed grant was proposed in the current history. Other grants come from the copy
/// or from a delayed update, and may have replaced a later grant that is still valid.
auto isCurrentGrant(const Lease& lease) -> bool
{
    return lease.observed && historyOf(lease.observed->fencingNumber) == lease.history;
}

auto isOwnGrant(const Lease& lease) -> bool
{
    return isCurrentGrant(lease) && lease.observed->holder == lease.settings.holder && !lease.observed->isReleased;
}

/// @return whether the grant of another holder has certainly expired. Its holder measures the lease
/// time from before it wrote the grant, which was before this instance observed it.
auto hasExpired(const Lease& lease, TimePoint now) -> bool
{
    if (const auto until = unknownHolderUntil(lease))
        return now >= *until;
    if (!lease.observed || lease.observed->isReleased)
        return true;
    return now - lease.observedAt >= lease.observed->leaseTime;
}

auto startCall(Lease& lease, TimePoint now) -> void
{
    lease.isCallInFlight = true;
    lease.sentAt = now;
    lease.nextCallAt = now + lease.settings.retryDelay;
}

auto startWrite(Lease& lease, TimePoint now, LeaseGrant grant) -> LeaseAction
{
    startCall(lease, now);
    grant.attemptId = lease.settings.holder + "#" + std::to_string(++lease.attempts);
    lease.proposed = grant;
    return WriteLease { lease.revision, std::move(grant) };
}

/// @return a number that is greater than those of all earlier grants. If these are unknown, because the store was
/// restored or the grant can't be parsed, it is derived from the revision that the grant replaces. Only one update
/// replaces a revision, and the revisions of a later history are greater.
auto nextFencingNumber(const Lease& lease) -> std::int64_t
{
    const auto last = lease.observed ? lease.observed->fencingNumber : 0;
    const auto isLastKnown = lease.observed || lease.revision == 0;
    if (lease.history <= lastHistoryWithoutRestore && isLastKnown)
        return last + 1;
    const auto replaced = std::max(lease.revision, makeRevision(lease.history, 0));
    return std::max(last, replaced) + 1;
}

auto nextGrant(const Lease& lease) -> LeaseGrant
{
    const auto last = lease.observed ? lease.observed->fencingNumber : 0;
    // A renewal keeps the fencing number, but only if the lease was held without interruption.
    const auto isRenewal = isOwnGrant(lease) && lease.fencingNumber == last && lease.fencingNumber != 0;
    return { lease.settings.holder, isRenewal ? last : nextFencingNumber(lease), {}, lease.settings.leaseTime, false };
}

/// Adopts a stored grant that this instance has proposed. The lease time counts from before the call
/// was sent.
auto acceptGrant(Lease& lease, const LeaseGrant& grant) -> void
{
    lease.heldUntil = lease.sentAt + grant.leaseTime - lease.settings.safetyMargin;
    lease.fencingNumber = grant.fencingNumber;
    lease.nextCallAt = lease.heldUntil - lease.settings.renewBefore;
}

auto resolveProposal(Lease& lease) -> void
{
    const auto proposed = std::exchange(lease.proposed, std::nullopt);
    if (!proposed || !lease.observed)
        return;
    // Successive managers in one process use the same attempt ids.
    if (lease.observed->attemptId != proposed->attemptId || lease.observed->fencingNumber != proposed->fencingNumber)
        return;
    if (lease.isWanted && !proposed->isReleased)
        acceptGrant(lease, *proposed);
}

}

auto nextLeaseCall(Lease& lease, TimePoint now) -> std::optional<LeaseAction>
{
    if (lease.isCallInFlight || now < lease.nextCallAt)
        return std::nullopt;
    if (lease.observedAt == TimePoint() || lease.proposed) {
        // The first call, and a call after a lost reply, reads the stored grant. If that is the
        // proposed grant, its deadline still counts from when the proposal was sent.
        const auto sentAt = lease.sentAt;
        startCall(lease, now);
        if (lease.proposed)
            lease.sentAt = sentAt;
        return ReadLease {};
    }
    if (!lease.isWanted) {
        if (!isOwnGrant(lease))
            return std::nullopt;
        auto released = *lease.observed;
        released.isReleased = true;
        return startWrite(lease, now, std::move(released));
    }
    if (isOwnGrant(lease) || hasExpired(lease, now)) {
        if (!holdsLease(lease, now))
            lease.fencingNumber = 0;
        return startWrite(lease, now, nextGrant(lease));
    }
    startCall(lease, now);
    return ReadLease {};
}

auto handleLeaseRead(Lease& lease, TimePoint now, StoredLease stored) -> void
{
    if (stored.history < lease.history) {
        handleLeaseCallFailure(lease, now);
        return;
    }
    lease.isCallInFlight = false;
    recordObserved(lease, now, std::move(stored));
    resolveProposal(lease);
}

auto handleLeaseWritten(Lease& lease, TimePoint now, std::int64_t revision) -> void
{
    handleLeaseRead(lease, now, { revision, historyOf(revision), lease.proposed });
}

auto handleLeaseConflict(Lease& lease, TimePoint now, StoredLease stored) -> void
{
    handleLeaseRead(lease, now, std::move(stored));
}

auto handleLeaseCallFailure(Lease& lease, TimePoint now) -> void
{
    lease.isCallInFlight = false;
    lease.nextCallAt = now + lease.settings.retryDelay;
}

auto unknownHolderUntil(const Lease& lease) -> std::optional<TimePoint>
{
    const auto isFirstGrant = lease.revision == 0 && lease.history <= lastHistoryWithoutRestore;
    if (isCurrentGrant(lease) || isFirstGrant)
        return std::nullopt;
    const auto storedTime = lease.observed ? lease.observed->leaseTime : Duration::zero();
    return lease.observedAt + std::max(storedTime, lease.settings.leaseTime);
}

auto holdsLease(const Lease& lease, TimePoint now) -> bool
{
    return lease.isWanted && lease.fencingNumber != 0 && now < lease.heldUntil;
}

auto releaseLease(Lease& lease, TimePoint now) -> void
{
    lease.isWanted = false;
    lease.heldUntil = {};
    lease.nextCallAt = now;
}

auto toJson(const LeaseGrant& grant) -> json::value
{
    return json::object { { "holder", grant.holder }, { "fencing_number", grant.fencingNumber }, { "attempt", grant.attemptId },
        { "lease_ms", std::chrono::duration_cast<std::chrono::milliseconds>(grant.leaseTime).count() }, { "released", grant.isReleased } };
}

auto leaseGrantFromJson(const json::value& value) -> std::optional<LeaseGrant>
{
    const auto* object = value.if_object();
    const auto* holder = object ? object->if_contains("holder") : nullptr;
    const auto* number = object ? object->if_contains("fencing_number") : nullptr;
    const auto* attempt = object ? object->if_contains("attempt") : nullptr;
    const auto* time = object ? object->if_contains("lease_ms") : nullptr;
    const auto* released = object ? object->if_contains("released") : nullptr;
    if (!holder || !number || !attempt || !time || !released)
        return std::nullopt;
    if (!holder->is_string() || !number->is_int64() || !attempt->is_string() || !time->is_int64() || !released->is_bool())
        return std::nullopt;
    const auto isInRange = time->get_int64() >= 0 && time->get_int64() <= maxLeaseMilliseconds && number->get_int64() >= 0 && number->get_int64() <= maxFencingNumber;
    if (!isInRange)
        return std::nullopt;
    return LeaseGrant { std::string(holder->get_string()), number->get_int64(), std::string(attempt->get_string()),
        std::chrono::milliseconds(time->get_int64()), released->get_bool() };
}

}
