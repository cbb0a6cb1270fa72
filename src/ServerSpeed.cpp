#include "ServerSpeed.h"

#include <algorithm>
#include <cmath>

namespace jayhold {

namespace {

/// Shorter than a slow phase of about 600 ms, so that its start and its end are noticed within it.
constexpr Duration fastDecayTime = std::chrono::milliseconds(300);
/// Long compared with the distance of slow phases and with bursts.
constexpr Duration slowDecayTime = std::chrono::seconds(20);
/// After this time nothing is left of an observation.
constexpr Duration evidenceTtl = 5 * slowDecayTime;
/// Mean time that is left of a slow phase.
constexpr Duration remainingPhaseTime = std::chrono::milliseconds(300);
/// Work at the speed assumed before, which is part of each average: few observations move it little.
constexpr double fastPriorSeconds = 0.1;
constexpr double slowPriorSeconds = 0.5;
/// Work counts for no more than this, so that one long wait does not outweigh everything else.
constexpr double maxSampleSeconds = 2;
constexpr double maxHeardSeconds = 2;
/// Less observed work says little about a server.
constexpr Duration minReportedWork = std::chrono::milliseconds(50);

auto clampSpeed(double speed) -> double
{
    return std::clamp(speed, minRelativeSpeed, maxRelativeSpeed);
}

auto hasEvidence(const ServerSpeed& speed, TimePoint now) -> bool
{
    return speed.updatedAt != TimePoint::min() && now - speed.updatedAt < evidenceTtl;
}

/// @return the weight that is left of a report. It fades, so that the estimate does not jump when the report expires.
auto heardSeconds(const HeardSpeed& heard, TimePoint now) -> double
{
    const auto age = std::chrono::duration<double>(now - heard.observedAt).count();
    const auto ttl = std::chrono::duration<double>(speedReportTtl).count();
    return heard.seconds * std::clamp(1 - age / ttl, 0.0, 1.0);
}

auto lastingSpeedWithEvidence(const ServerSpeed& speed, TimePoint now) -> double
{
    const auto own = decayedTo(speed.slow, now, slowDecayTime);
    auto amount = own.amount + slowPriorSeconds;
    auto seconds = own.seconds + slowPriorSeconds;
    for (const auto& heard : speed.heard) {
        if (heard.seconds <= 0)
            continue;
        const auto weight = heardSeconds(heard, now);
        amount += heard.speed * weight;
        seconds += weight;
    }
    return clampSpeed(amount / seconds);
}

}

auto observeSpeed(ServerSpeed& speed, TimePoint now, double expectedSeconds, double seconds) -> void
{
    if (!(expectedSeconds > 0) || !(seconds > 0) || !std::isfinite(expectedSeconds) || !std::isfinite(seconds))
        return;
    const auto relative = clampSpeed(expectedSeconds / seconds);
    // A server that stood still is not slow in proportion to that time.
    const auto counted = std::min({ seconds, expectedSeconds / minRelativeSpeed, maxSampleSeconds });
    addWork(speed.fast, now, fastDecayTime, relative * counted, counted);
    // Requests that end together after the server stood still observe the same time, which counts once.
    const auto sinceLast = std::chrono::duration<double>(now - speed.slow.updatedAt).count();
    const auto unobserved = std::clamp(sinceLast, 0.0, counted);
    addWork(speed.slow, now, slowDecayTime, relative * unobserved, unobserved);
    speed.updatedAt = std::max(speed.updatedAt, now);
}

auto addHeardSpeed(ServerSpeed& speed, TimePoint now, HeardSpeed heard) -> void
{
    if (!std::isfinite(heard.speed) || !(heard.seconds > 0) || now - heard.observedAt >= speedReportTtl)
        return;
    heard.speed = clampSpeed(heard.speed);
    heard.seconds = std::min(heard.seconds, maxHeardSeconds);
    heard.observedAt = std::min(heard.observedAt, now);
    auto place = std::ranges::find_if(speed.heard, [&](const HeardSpeed& known) { return known.seconds > 0 && known.sender == heard.sender; });
    if (place == speed.heard.end())
        place = std::ranges::min_element(speed.heard, {}, [&](const HeardSpeed& known) { return heardSeconds(known, now); });
    *place = heard;
    speed.updatedAt = std::max(speed.updatedAt, now);
}

auto lastingSpeed(const ServerSpeed& speed, TimePoint now) -> double
{
    return hasEvidence(speed, now) ? lastingSpeedWithEvidence(speed, now) : 1;
}

auto expectedSpeed(const ServerSpeed& speed, TimePoint now, Duration workTime) -> double
{
    if (!hasEvidence(speed, now))
        return 1;
    const auto lasting = lastingSpeedWithEvidence(speed, now);
    const auto recent = decayedTo(speed.fast, now, fastDecayTime);
    const auto current = clampSpeed((recent.amount + fastPriorSeconds * lasting) / (recent.seconds + fastPriorSeconds));
    const auto phase = workTime <= remainingPhaseTime ? 1 : static_cast<double>(remainingPhaseTime.count()) / static_cast<double>(workTime.count());
    const auto expected = 1 / (phase / current + (1 - phase) / lasting);
    return std::abs(expected - 1) <= minSpeedDifference ? 1 : clampSpeed(expected);
}

auto observedSpeed(const ServerSpeed& speed, TimePoint now) -> ObservedSpeed
{
    const auto own = decayedTo(speed.slow, now, slowDecayTime);
    if (own.seconds <= 0)
        return {};
    return {
        clampSpeed(own.amount / own.seconds),
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(own.seconds)),
        std::max(now - speed.slow.updatedAt, Duration::zero()),
    };
}

auto isReportable(const ObservedSpeed& observed) -> bool
{
    return observed.observed >= minReportedWork && observed.age < speedReportTtl && std::abs(observed.speed - 1) > minSpeedDifference;
}

}
