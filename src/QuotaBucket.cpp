#include "QuotaBucket.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

namespace {

/// Covers the rounding of levels that are refilled in many small steps.
constexpr double tolerance = 1e-3;

}

auto refill(QuotaBucket& bucket, TimePoint now) -> void
{
    if (now <= bucket.refilledAt)
        return;
    const auto seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.level = std::min(bucket.capacity, bucket.level + bucket.perSecond * seconds);
    bucket.refilledAt = now;
}

auto setLimits(QuotaBucket& bucket, TimePoint now, double perSecond, double capacity) -> void
{
    refill(bucket, now);
    bucket.perSecond = perSecond;
    bucket.capacity = capacity;
    bucket.level = std::min(bucket.level, capacity);
}

auto empty(QuotaBucket& bucket, TimePoint now) -> void
{
    bucket.level = std::min(bucket.level, 0.0);
    bucket.refilledAt = std::max(bucket.refilledAt, now);
}

auto missingFor(const QuotaBucket& bucket, std::int64_t amount) -> double
{
    const auto missing = std::min(static_cast<double>(amount), bucket.capacity) - bucket.level;
    return missing > tolerance ? missing : 0;
}

auto tryTake(QuotaBucket& bucket, TimePoint now, std::int64_t amount) -> bool
{
    refill(bucket, now);
    if (missingFor(bucket, amount) > 0)
        return false;
    bucket.level -= static_cast<double>(amount);
    return true;
}

auto takeUpTo(QuotaBucket& bucket, TimePoint now, std::int64_t amount, double kept) -> std::int64_t
{
    refill(bucket, now);
    const auto spare = std::floor(std::min(bucket.level - kept, static_cast<double>(amount)));
    if (spare <= 0)
        return 0;
    bucket.level -= spare;
    return static_cast<std::int64_t>(spare);
}

auto deposit(QuotaBucket& bucket, TimePoint now, std::int64_t amount) -> void
{
    refill(bucket, now);
    bucket.level = std::min(bucket.capacity, bucket.level + static_cast<double>(amount));
}

auto timeToGain(const QuotaBucket& bucket, double amount, Duration maximum) -> Duration
{
    const auto limit = std::chrono::duration<double>(maximum).count();
    if (bucket.perSecond <= 0 || amount / bucket.perSecond >= limit)
        return maximum;
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(std::max(0.0, amount) / bucket.perSecond));
}

}
