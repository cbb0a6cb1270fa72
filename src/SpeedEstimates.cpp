#include "SpeedEstimates.h"

#include "ReplicaIndex.h"

namespace jayhold {

namespace {

/// Bounds the cost of tokens, which come many times a second for each replica.
constexpr Duration refreshInterval = std::chrono::milliseconds(100);
/// Estimates of replicas without events age in steps of this length. All replicas are checked at the same moments, so that
/// the shard wakes up once for all of them.
constexpr Duration ageingInterval = std::chrono::seconds(1);
/// Decodes last for seconds, so the current phase of an engine is a small part of them.
constexpr Duration typicalDecodeTime = std::chrono::seconds(2);

auto referenceOf(ShardState& state, const Replica& replica) -> SpeedReference&
{
    return replica.role() == PoolRole::Prefill ? state.prefillReference : state.decodeReference;
}

}

auto workOf(const Replica& replica) -> WorkType
{
    return replica.role() == PoolRole::Prefill ? WorkType::Prefill : WorkType::Decode;
}

auto observeReplicaSpeed(DecisionContext& context, Replica& replica, double tokens, double seconds) -> void
{
    const auto expected = addToReference(referenceOf(context.state, replica), context.now, tokens, seconds);
    observeSpeed(replica.speed, context.now, expected, seconds);
    if (context.now >= replica.speedValidUntil)
        updateIndex(context, replica);
}

auto refreshExpectedSpeed(Replica& replica, TimePoint now) -> void
{
    if (now < replica.speedValidUntil)
        return;
    replica.speedValidUntil = now + refreshInterval;
    replica.expectedSpeed = expectedSpeed(replica.speed, now, replica.role() == PoolRole::Prefill ? Duration::zero() : typicalDecodeTime);
}

auto addHeardReplicaSpeed(DecisionContext& context, Replica& replica, const HeardSpeed& heard) -> void
{
    addHeardSpeed(replica.speed, context.now, heard);
    // No further event may come if the replica is idle.
    replica.speedValidUntil = TimePoint::min();
    updateIndex(context, replica);
}

auto nextSpeedCheck(const Replica& replica) -> TimePoint
{
    if (replica.expectedSpeed == 1)
        return TimePoint::min();
    return TimePoint((replica.speedValidUntil.time_since_epoch() / ageingInterval + 1) * ageingInterval);
}

auto forgetSpeed(Replica& replica) -> void
{
    replica.speed = {};
    replica.expectedSpeed = 1;
    replica.speedValidUntil = TimePoint::min();
}

}
