#include "../QuotaFleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace jayhold;
using namespace jayhold::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration window = 8s;
/// Time within which a configuration reaches all instances.
constexpr Duration spread = 3s;

auto tokensPerSecond(double rate) -> Quota
{
    return { .perSecond = rate, .burst = rate, .unit = QuotaUnit::Tokens };
}

auto boundOf(const Quota& quota, const QuotaLimits& limits) -> double
{
    return (quota.perSecond * std::chrono::duration<double>(window).count() + quota.burst) * (1 + limits.over) + limits.slack;
}

/// Sends requests of 1,000 to 6,700 tokens at random times with this mean rate.
/// @param chooseInstance chooses the instance of each request.
auto sendRequests(QuotaFleet& fleet, double tokensPerS, Duration from, Duration to, const std::function<std::size_t()>& chooseInstance) -> void
{
    constexpr double meanAmount = 3'850;
    std::exponential_distribution<> gap(tokensPerS / meanAmount);
    for (auto at = std::chrono::duration<double>(from); at < to; at += std::chrono::duration<double>(gap(fleet.random()))) {
        const auto instance = chooseInstance();
        const auto amount = 1'000 + static_cast<std::int64_t>(fleet.random()() % 5'701);
        fleet.at(std::chrono::duration_cast<Duration>(at), [&fleet, instance, amount] { fleet.request(instance, amount); });
    }
}

/// @return the greatest granted amount of a window, as a part of the bound that applies to it.
/// @param quotaAt greatest quota that may apply between two times.
auto greatestPart(const QuotaFleet& fleet, const QuotaLimits& limits, const std::function<Quota(TimePoint, TimePoint)>& quotaAt) -> double
{
    double greatest = 0;
    double sum = 0;
    std::size_t first = 0;
    const auto& requests = fleet.requests();
    for (const auto& last : requests) {
        sum += last.isGranted ? static_cast<double>(last.amount) : 0;
        for (; last.at - requests[first].at >= window; ++first)
            sum -= requests[first].isGranted ? static_cast<double>(requests[first].amount) : 0;
        greatest = std::max(greatest, sum / boundOf(quotaAt(last.at - window, last.at), limits));
    }
    return greatest;
}

/// Schedules random cuts, splits, restarts and pauses up to a time.
auto scheduleFaults(QuotaFleet& fleet, std::size_t zones, Duration end) -> void
{
    const auto randomTime = [&](Duration longest) { return Duration(static_cast<Duration::rep>(fleet.random()() % static_cast<std::uint64_t>(longest.count()))); };
    const auto count = fleet.random()() % 10;
    for (std::size_t fault = 0; fault < count; ++fault) {
        const auto from = randomTime(end);
        const auto to = from + randomTime(12s);
        const auto zone = fleet.random()() % zones;
        const auto instance = fleet.random()() % fleet.size();
        const auto change = [&](auto set) {
            fleet.at(from, [set] { set(true); });
            fleet.at(to, [set] { set(false); });
        };
        switch (fleet.random()() % 5) {
        case 0:
            change([&fleet, zone](bool isCut) { fleet.cutZone(zone, isCut); });
            break;
        case 1:
            change([&fleet, zone](bool isSplit) { fleet.splitZone(zone, isSplit); });
            break;
        case 2:
            change([&fleet, instance](bool isCut) { fleet.cutInstance(instance, isCut); });
            break;
        case 3:
            fleet.at(from, [&fleet, instance] { fleet.restart(instance); });
            break;
        default:
            fleet.at(from, [&fleet, instance, time = randomTime(4s)] { fleet.pause(instance, time); });
        }
    }
}

auto chooseUniformly(QuotaFleet& fleet) -> std::function<std::size_t()>
{
    return [&fleet] { return fleet.random()() % fleet.size(); };
}

}

// Guards against amounts that are granted twice: by two owners, from a lost or late message, after a restart, a pause or a
// cut, or after a lower quota.
TEST_CASE("the requests of any window stay within the bound under random faults")
{
    rc::prop("grants of 8 s stay within the bound", [] {
        QuotaFleetSettings settings;
        settings.seed = *rc::gen::arbitrary<std::uint64_t>();
        settings.instancesPerZone = *rc::gen::inRange<std::size_t>(1, 12);
        settings.zones = *rc::gen::inRange<std::size_t>(1, 4);
        settings.loss = *rc::gen::element(0.0, 0.02, 0.2);
        QuotaFleet fleet(settings);
        const auto first = tokensPerSecond(*rc::gen::element(47'000.0, 120'000.0, 350'000.0));
        const auto second = tokensPerSecond(*rc::gen::element(47'000.0, 350'000.0));
        const Duration end = 30s;
        const Duration changeAt = *rc::gen::element(5s, 15s, 60s);
        fleet.setQuota(first);
        fleet.at(changeAt, [&] { fleet.setQuota(second, spread); });
        fleet.returnGrants(100ms, *rc::gen::element(0.0, 0.3));
        scheduleFaults(fleet, settings.zones, end);
        // The load begins late, so that full buckets add to it.
        sendRequests(fleet, std::max(first.perSecond, second.perSecond) * *rc::gen::element(1.5, 4.0), 4s, end, chooseUniformly(fleet));
        fleet.runUntil(end + 1s);
        const auto quotaAt = [&](TimePoint from, TimePoint to) {
            const auto isFirst = from < fleet.start() + changeAt + spread;
            const auto isSecond = to >= fleet.start() + changeAt;
            return isFirst && (!isSecond || first.perSecond > second.perSecond) ? first : second;
        };
        const auto part = greatestPart(fleet, settings.limits, quotaAt);
        RC_CLASSIFY(part > 0.9, "above 90% of the bound");
        RC_ASSERT(part <= 1);
    });
}

// Guards against more than the bound when no instance hears another one, which is the most that isolated instances can add.
TEST_CASE("instances that are all cut off at once stay within the bound together")
{
    const auto rate = GENERATE(47'000.0, 350'000.0);
    QuotaFleetSettings settings;
    settings.instancesPerZone = 29;
    QuotaFleet fleet(settings);
    fleet.setQuota(tokensPerSecond(rate));
    sendRequests(fleet, rate * 4, 4s, 30s, chooseUniformly(fleet));
    fleet.at(8s, [&] {
        for (std::size_t instance = 0; instance < fleet.size(); ++instance)
            fleet.cutInstance(instance, true);
    });
    fleet.runUntil(30s);
    const auto part = greatestPart(fleet, settings.limits, [&](TimePoint, TimePoint) { return tokensPerSecond(rate); });
    INFO("part of the bound " << part);
    CHECK(part <= 1);
}

// Guards against refusals below the quota: most of the demand comes to one zone and half of it to one instance, so neither
// the instance's nor the zone's share is enough.
TEST_CASE("a customer with uneven demand below its quota gets nearly all of it")
{
    const auto rate = GENERATE(47'000.0, 350'000.0);
    const auto part = GENERATE(1 / 1.8, 0.8);
    QuotaFleetSettings settings;
    settings.instancesPerZone = 29;
    settings.seed = static_cast<std::uint64_t>(rate * part);
    QuotaFleet fleet(settings);
    fleet.setQuota(tokensPerSecond(rate));
    const std::function<std::size_t()> choose = [&]() -> std::size_t {
        const auto kind = fleet.random()() % 10;
        const auto other = fleet.random()() % fleet.size();
        // Instance 0 is in the first zone, as are all multiples of the number of zones.
        return kind < 5 ? 0 : kind < 8 ? other - other % settings.zones
                                       : other;
    };
    sendRequests(fleet, rate * part, 3s, 33s, choose);
    fleet.runUntil(34s);
    double demanded = 0;
    double granted = 0;
    for (const auto& request : fleet.requests()) {
        demanded += static_cast<double>(request.amount);
        granted += request.isGranted ? static_cast<double>(request.amount) : 0;
    }
    INFO("granted part " << granted / demanded);
    CHECK(demanded > rate * part * 20);
    CHECK(granted >= 0.99 * demanded);
}
