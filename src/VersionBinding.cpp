#include "VersionBinding.h"

#include "QueuedRequests.h"
#include "RequestLifecycle.h"

#include <algorithm>

namespace jayhold {

namespace {

/// Callers give up a stream after a gap of two seconds or more, so a longer wait for a replica that starts again would help
/// few of them.
constexpr Duration versionReturnTime = std::chrono::seconds(2);

/// @return whether a replica of the version gets the decode role as soon as its present work has ended.
auto isChangingToDecode(const ShardState& state, SoftwareVersionId version) -> bool
{
    return std::ranges::any_of(state.endingReplicas, [&](const auto& ending) {
        const auto& next = ending.second;
        return next && next->role == PoolRole::Decode && next->state == ReplicaState::Live && next->version == version;
    });
}

auto isServed(const DecisionContext& context, SoftwareVersionId version) -> bool
{
    const auto found = context.state.versions.find(version);
    if (found != context.state.versions.end() && (found->second.live > 0 || found->second.awaitedUntil > context.now))
        return true;
    return isChangingToDecode(context.state, version);
}

}

auto bindToVersion(DecisionContext& context, ActiveRequest& request, SoftwareVersionId version) -> void
{
    if (request.boundVersion)
        return;
    const auto isQueued = request.phase == RequestPhase::Queued;
    if (isQueued)
        removeFromQueue(context.state, request);
    request.boundVersion = version;
    if (!isQueued)
        return;
    request.subQueue = SubQueue::Resume;
    pushToQueue(context.state, request);
    setTimer(context, request);
}

auto hasNewTokens(const ActiveRequest& request, std::uint32_t total) -> bool
{
    return total > std::max(request.emitted, request.arrival.resumedTokens);
}

auto recordTokens(DecisionContext& context, ActiveRequest& request, std::uint32_t total) -> void
{
    if (hasNewTokens(request, total))
        bindToVersion(context, request, request.attemptVersion);
    request.emitted = std::max(request.emitted, total);
}

auto countVersion(DecisionContext& context, Replica& replica) -> void
{
    const auto isLive = replica.description.state == ReplicaState::Live && replica.role() == PoolRole::Decode;
    const auto before = replica.countedVersion;
    replica.countedVersion = isLive ? std::optional(replica.description.version) : std::nullopt;
    if (replica.countedVersion)
        ++context.state.versions[*replica.countedVersion].live;
    if (!before)
        return;
    auto& engines = context.state.versions[*before];
    if (--engines.live > 0)
        return;
    // A replica that leaves does not come back.
    if (replica.description.state == ReplicaState::Gone)
        engines.awaitedUntil = context.now + versionReturnTime;
    else
        context.state.versions.erase(*before);
}

auto isVersionServed(const DecisionContext& context, const ActiveRequest& request) -> bool
{
    return !request.boundVersion || isServed(context, *request.boundVersion);
}

auto hasSeveralVersions(const ShardState& state) -> bool
{
    return std::ranges::count_if(state.versions, [](const auto& version) { return version.second.live > 0; }) > 1;
}

auto refuseUnserved(DecisionContext& context) -> void
{
    std::vector<RequestId> unserved;
    for (const auto& [version, waiting] : context.state.queue.resumes()) {
        if (!version || isServed(context, *version))
            continue;
        for (const auto& [order, request] : waiting)
            unserved.push_back(request);
    }
    for (const auto& [expiresAt, request] : context.state.prefilled) {
        if (!isVersionServed(context, *findRequest(context.state, request)))
            unserved.push_back(request);
    }
    for (const auto request : unserved)
        refuse(context, *findRequest(context.state, request), RefusalReason::VersionGone);
}

auto nextVersionCheck(const DecisionContext& context) -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto& [version, waiting] : context.state.queue.resumes()) {
        const auto found = version ? context.state.versions.find(*version) : context.state.versions.end();
        if (found != context.state.versions.end() && found->second.live == 0 && found->second.awaitedUntil > context.now)
            next = std::min(next, found->second.awaitedUntil);
    }
    return next;
}

}
