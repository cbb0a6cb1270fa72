#include "PlainBalancer.h"

#include "Hexadecimal.h"
#include "Rendezvous.h"

#include <algorithm>
#include <utility>

namespace jayhold {

namespace {

auto isEjected(const PlainBackend& backend) -> bool
{
    return backend.consecutiveFailures >= PlainBalancer::ejectionThreshold;
}

/// @return whether a call after a pause must end before the server gets another one. Calls from before the pause don't
/// count once the time that the server has asked for is over, because they may last for long.
auto awaitsFirstCall(const PlainBackend& backend, TimePoint now) -> bool
{
    return backend.isReturning && (backend.hasFirstCall || (now < backend.pauseAskedUntil && backend.inFlight > 0));
}

/// @return what keeps the server from being chosen, apart from the lack of a free slot.
auto callObstacle(const PlainBackend& backend, TimePoint now) -> std::optional<PlacementObstacle>
{
    if (backend.server.state != ReplicaState::Live)
        return PlacementObstacle::NotLive;
    if (backend.allowance && !backend.allowance->hasCall(now))
        return PlacementObstacle::CallLimit;
    if (backend.pausedUntil > now || awaitsFirstCall(backend, now))
        return PlacementObstacle::Paused;
    if (isEjected(backend) && now < backend.ejectedUntil)
        return PlacementObstacle::Ejected;
    if (isEjected(backend) && backend.inFlight > 0)
        return PlacementObstacle::Probe;
    return std::nullopt;
}

auto takesCalls(const PlainBackend& backend, TimePoint now) -> bool
{
    return !callObstacle(backend, now);
}

auto isAvailable(const PlainBackend& backend, TimePoint now) -> bool
{
    return backend.inFlight < backend.slots && takesCalls(backend, now);
}

/// @return the expected speed for a call, at most the mean. The mean includes slow phases, so most servers are faster than
/// it. If they went before a server of unknown speed, which counts as the mean, a new server would get no calls while one
/// of them is idle, and its speed would remain unknown.
auto callSpeed(const PlainBackend& backend, TimePoint now) -> double
{
    return std::min(expectedSpeed(backend.speed, now, Duration::zero()), 1.0);
}

/// @return the time until the server would have completed one more call, in calls at the mean speed.
auto completionTime(const PlainBackend& backend, TimePoint now) -> double
{
    return (backend.inFlight + 1.0) / callSpeed(backend, now);
}

/// Whether the first of two usable servers of the own zone, or of two in other zones, is the better choice.
auto isBetter(const PlainBackend& left, const PlainBackend& right, TimePoint now) -> bool
{
    // A call beside one that may crash the server can be lost with it.
    if ((left.suspects == 0) != (right.suspects == 0))
        return left.suspects == 0;
    return completionTime(left, now) < completionTime(right, now);
}

/// Whether a server of another zone is the better choice than one of the own zone.
auto isWorthMove(const PlainBackend& local, const PlainBackend& remote, TimePoint now, Duration callTime) -> bool
{
    if ((local.suspects == 0) != (remote.suspects == 0))
        return remote.suspects == 0;
    const auto time = static_cast<double>(callTime.count());
    return time / callSpeed(local, now) > time / callSpeed(remote, now) + static_cast<double>(PlainBalancer::otherZoneCallCost.count());
}

auto removeCall(PlainBackend& backend, TimePoint now, bool isServed) -> void
{
    backend.inFlight -= backend.inFlight > 0 ? 1 : 0;
    const auto wasFirst = std::exchange(backend.hasFirstCall, false);
    // The time that the server has asked for is not over, so it gets no second call.
    if (wasFirst && !isServed && now < backend.pauseAskedUntil)
        backend.pausedUntil = std::max(backend.pausedUntil, backend.pauseAskedUntil);
    backend.isReturning = backend.isReturning && !(wasFirst && isServed);
}

auto ejectionTime(std::uint32_t failures) -> Duration
{
    const auto doublings = std::min(failures - PlainBalancer::ejectionThreshold, 5U);
    return std::min(PlainBalancer::baseEjectionTime * (1U << doublings), PlainBalancer::maxEjectionTime);
}

}

auto PlainBalancer::update(std::vector<PlainBackend> backends) -> void
{
    for (auto& backend : backends) {
        const auto* known = find(backend.server.id);
        if (!known)
            continue;
        backend.inFlight = known->inFlight;
        backend.suspects = known->suspects;
        // A server at another address is another process, whose health is unknown.
        if (known->server.endpoint != backend.server.endpoint)
            continue;
        if (known->server.incarnation == backend.server.incarnation) {
            backend.allowance = known->allowance;
            backend.pausedUntil = known->pausedUntil;
            backend.pauseAskedUntil = known->pauseAskedUntil;
            backend.isReturning = known->isReturning;
            backend.hasFirstCall = known->hasFirstCall;
            backend.isAnswering = known->isAnswering;
            backend.speed = known->speed;
        }
        backend.consecutiveFailures = known->consecutiveFailures;
        backend.ejectedUntil = known->ejectedUntil;
    }
    m_backends = std::move(backends);
}

auto PlainBalancer::updateRates(TimePoint now, const CallRates& rates) -> void
{
    for (auto& backend : m_backends) {
        const auto rate = rateOf(rates, backend.server.id, backend.server.incarnation);
        if (!rate)
            backend.allowance.reset();
        else if (backend.allowance)
            backend.allowance->updateRate(*rate, now);
        else
            backend.allowance.emplace(*rate, now);
    }
}

auto PlainBalancer::applyPause(std::string_view id, std::string_view incarnation, const BackendPause& pause) -> void
{
    auto* backend = find(id);
    if (!backend || backend->server.incarnation != incarnation)
        return;
    // Pauses are only extended. One that was applied before, as after each change of the list of servers, must not
    // undo what has happened since.
    if (pause.until <= backend->pausedUntil && pause.askedUntil <= backend->pauseAskedUntil)
        return;
    backend->pausedUntil = std::max(backend->pausedUntil, pause.until);
    backend->pauseAskedUntil = std::max(backend->pauseAskedUntil, pause.askedUntil);
    backend->isReturning = true;
    backend->hasFirstCall = false;
}

auto PlainBalancer::pausesEndAt(TimePoint now) const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto& backend : m_backends) {
        if (backend.server.state == ReplicaState::Live)
            next = std::min(next, std::max(backend.pausedUntil, now));
    }
    return next == TimePoint::max() ? now : next;
}

auto PlainBalancer::tryTakeCall(TimePoint now, std::string_view id) -> bool
{
    auto* backend = find(id);
    return backend && backend->pausedUntil <= now && (!backend->allowance || backend->allowance->tryTake(now));
}

auto PlainBalancer::nextCallAt(TimePoint now) const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto& backend : m_backends) {
        if (backend.allowance && backend.server.state == ReplicaState::Live && backend.inFlight < backend.slots)
            next = std::min(next, backend.allowance->nextCallAt(now));
    }
    return next;
}

auto PlainBalancer::slots(TimePoint now, std::span<const std::string> excluded) const -> std::uint32_t
{
    std::uint32_t slots = 0;
    for (const auto& backend : m_backends)
        slots += takesCalls(backend, now) && std::ranges::find(excluded, backend.server.id) == excluded.end() ? backend.slots : 0;
    return slots;
}

auto PlainBalancer::freeSlots(TimePoint now, std::span<const std::string> excluded) const -> std::uint32_t
{
    std::uint32_t free = 0;
    for (const auto& backend : m_backends)
        free += isAvailable(backend, now) && std::ranges::find(excluded, backend.server.id) == excluded.end() ? backend.slots - backend.inFlight : 0;
    return free;
}

auto PlainBalancer::acquire(TimePoint now, std::span<const std::string> excluded, Duration callTime) -> std::optional<BackendServer>
{
    const auto* chosen = choose(now, excluded, callTime);
    ++m_searchStart;
    return chosen ? std::optional(take(m_backends[static_cast<std::size_t>(chosen - m_backends.data())], now)) : std::nullopt;
}

auto PlainBalancer::choose(TimePoint now, std::span<const std::string> excluded, Duration callTime) const -> const PlainBackend*
{
    const PlainBackend* local = nullptr;
    const PlainBackend* remote = nullptr;
    // The start of the search rotates, so that equally loaded servers are chosen in turn.
    const auto searchStart = m_searchStart + 1;
    for (std::size_t offset = 0; offset < m_backends.size(); ++offset) {
        const auto& candidate = m_backends[(searchStart + offset) % m_backends.size()];
        if (!isAvailable(candidate, now) || std::ranges::find(excluded, candidate.server.id) != excluded.end())
            continue;
        auto& best = candidate.isLocal ? local : remote;
        if (!best || isBetter(candidate, *best, now))
            best = &candidate;
    }
    return local && (!remote || !isWorthMove(*local, *remote, now, callTime)) ? local : remote;
}

auto PlainBalancer::candidates(TimePoint now) const -> std::vector<PlainCandidate>
{
    std::vector<PlainCandidate> candidates;
    for (const auto& backend : m_backends) {
        PlainCandidate candidate { .backend = backend, .speed = callSpeed(backend, now), .cost = completionTime(backend, now), .obstacle = callObstacle(backend, now) };
        if (!candidate.obstacle && backend.inFlight >= backend.slots)
            candidate.obstacle = PlacementObstacle::Slots;
        if (backend.pausedUntil > now)
            candidate.pauseLeft = std::chrono::duration_cast<Duration>(backend.pausedUntil - now);
        if (backend.speed.updatedAt != TimePoint::min())
            candidate.speedAge = std::chrono::duration_cast<Duration>(now - backend.speed.updatedAt);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

auto PlainBalancer::recordSpeed(TimePoint now, const BackendServer& server, double expectedSeconds, double seconds) -> void
{
    if (auto* backend = find(server.id); backend && hasSameIncarnation(backend->server, server))
        observeSpeed(backend->speed, now, expectedSeconds, seconds);
}

auto PlainBalancer::addReportedSpeed(TimePoint now, std::string_view id, std::string_view incarnation, const HeardSpeed& heard) -> void
{
    if (auto* backend = find(id); backend && backend->server.incarnation == incarnation)
        addHeardSpeed(backend->speed, now, heard);
}

auto PlainBalancer::take(PlainBackend& backend, TimePoint now) -> BackendServer
{
    if (backend.allowance)
        backend.allowance->tryTake(now);
    ++backend.inFlight;
    backend.hasFirstCall = backend.isReturning;
    return backend.server;
}

auto PlainBalancer::acquireForSuspect(TimePoint now, std::span<const std::string> excluded, std::uint64_t signature) -> std::optional<BackendServer>
{
    PlainBackend* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (auto& candidate : m_backends) {
        if (!isAvailable(candidate, now) || candidate.suspects > 0 || std::ranges::find(excluded, candidate.server.id) != excluded.end())
            continue;
        const auto weight = stableHash(candidate.server.id + "/" + toHexadecimal(signature));
        if (best && weight <= bestWeight)
            continue;
        best = &candidate;
        bestWeight = weight;
    }
    if (!best)
        return std::nullopt;
    ++best->suspects;
    return take(*best, now);
}

auto PlainBalancer::releaseSuspect(std::string_view id) -> void
{
    if (auto* backend = find(id); backend && backend->suspects > 0)
        --backend->suspects;
}

auto PlainBalancer::awaitsSuspect(TimePoint now, std::span<const std::string> excluded) const -> bool
{
    return std::ranges::any_of(m_backends, [&](const PlainBackend& backend) {
        return backend.suspects > 0 && isAvailable(backend, now) && std::ranges::find(excluded, backend.server.id) == excluded.end();
    });
}

auto PlainBalancer::release(TimePoint now, std::string_view id, bool isHealthy) -> bool
{
    auto* backend = find(id);
    if (!backend)
        return false;
    const auto wasReturning = backend->isReturning;
    removeCall(*backend, now, isHealthy);
    if (isHealthy) {
        backend->consecutiveFailures = 0;
        return wasReturning && !backend->isReturning;
    }
    ++backend->consecutiveFailures;
    if (isEjected(*backend))
        backend->ejectedUntil = now + ejectionTime(backend->consecutiveFailures);
    return false;
}

auto PlainBalancer::releaseRejected(TimePoint now, std::string_view id) -> void
{
    auto* backend = find(id);
    if (!backend)
        return;
    removeCall(*backend, now, false);
    backend->consecutiveFailures = 0;
}

auto PlainBalancer::releaseCancelled(TimePoint now, std::string_view id) -> void
{
    if (auto* backend = find(id))
        removeCall(*backend, now, false);
}

auto PlainBalancer::recordContact(const BackendServer& server, bool hasAnswered) -> void
{
    if (auto* backend = find(server.id); backend && hasSameIncarnation(backend->server, server))
        backend->isAnswering = hasAnswered;
}

auto PlainBalancer::isAnswering(const BackendServer& server) const -> bool
{
    return std::ranges::any_of(m_backends, [&](const PlainBackend& backend) { return backend.isAnswering && hasSameIncarnation(backend.server, server); });
}

auto PlainBalancer::hasLiveBackend() const -> bool
{
    return std::ranges::any_of(m_backends, [](const PlainBackend& backend) { return backend.server.state == ReplicaState::Live; });
}

auto PlainBalancer::find(std::string_view id) -> PlainBackend*
{
    const auto found = std::ranges::find_if(m_backends, [&](const PlainBackend& backend) { return backend.server.id == id; });
    return found == m_backends.end() ? nullptr : &*found;
}

}
