#include "PlainBalancer.h"

#include <algorithm>

namespace jayhold {

namespace {

auto isEjected(const PlainBackend& backend) -> bool
{
    return backend.consecutiveFailures >= PlainBalancer::ejectionThreshold;
}

auto isAvailable(const PlainBackend& backend, TimePoint now) -> bool
{
    if (backend.server.state != ReplicaState::Live || backend.inFlight >= backend.slots)
        return false;
    if (backend.allowance && !backend.allowance->hasCall(now))
        return false;
    return !isEjected(backend) || (now >= backend.ejectedUntil && backend.inFlight == 0);
}

/// Whether the first of two usable servers is the better choice.
auto isBetter(const PlainBackend& left, const PlainBackend& right) -> bool
{
    if (left.isLocal != right.isLocal)
        return left.isLocal;
    return left.inFlight < right.inFlight;
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
        // A server at another address is another process, whose health is unknown.
        if (known->server.endpoint != backend.server.endpoint)
            continue;
        if (known->server.incarnation == backend.server.incarnation)
            backend.allowance = known->allowance;
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

auto PlainBalancer::tryTakeCall(TimePoint now, std::string_view id) -> bool
{
    auto* backend = find(id);
    return backend && (!backend->allowance || backend->allowance->tryTake(now));
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

auto PlainBalancer::acquire(TimePoint now, std::span<const std::string> excluded) -> std::optional<BackendServer>
{
    PlainBackend* best = nullptr;
    // The start of the search rotates, so that equally loaded servers are chosen in turn.
    ++m_searchStart;
    for (std::size_t offset = 0; offset < m_backends.size(); ++offset) {
        auto& candidate = m_backends[(m_searchStart + offset) % m_backends.size()];
        if (!isAvailable(candidate, now) || std::ranges::find(excluded, candidate.server.id) != excluded.end())
            continue;
        if (!best || isBetter(candidate, *best))
            best = &candidate;
    }
    if (!best)
        return std::nullopt;
    if (best->allowance)
        best->allowance->tryTake(now);
    ++best->inFlight;
    return best->server;
}

auto PlainBalancer::release(TimePoint now, std::string_view id, bool isHealthy) -> void
{
    auto* backend = find(id);
    if (!backend)
        return;
    backend->inFlight -= backend->inFlight > 0 ? 1 : 0;
    if (isHealthy) {
        backend->consecutiveFailures = 0;
        return;
    }
    ++backend->consecutiveFailures;
    if (isEjected(*backend))
        backend->ejectedUntil = now + ejectionTime(backend->consecutiveFailures);
}

auto PlainBalancer::releaseCancelled(std::string_view id) -> void
{
    if (auto* backend = find(id))
        backend->inFlight -= backend->inFlight > 0 ? 1 : 0;
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
