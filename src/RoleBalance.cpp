#include "RoleBalance.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>

namespace jayhold {

namespace {

/// With less work than this, the shares of the two roles are meaningless.
constexpr double minWork = 0.5;
/// Differences in replicas below which no role changes, so that the roles do not oscillate. The way
/// back to prefill takes a larger difference, because queued prompts count more than their work and
/// decode replicas can prefill for a while.
constexpr double hysteresisToDecode = 0.6;
constexpr double hysteresisToPrefill = 1.5;
/// Maximum fraction of the replicas that change their role at once.
constexpr double maxChangeFraction = 0.12;

auto movingAverage(double average, double value, double weight) -> double
{
    return average + (value - average) * weight;
}

}

auto observeDemand(RoleBalance& balance, TimePoint now, const RoleDemand& demand) -> void
{
    const auto isBusy = demand.prefillWork + demand.decodeWork >= minWork;
    if (!balance.busySince && !isBusy)
        return;
    if (!balance.busySince)
        balance.busySince = now;
    if (now - *balance.busySince < balance.settings.rampUp)
        return;
    if (!balance.hasAverage) {
        balance.hasAverage = true;
        balance.prefillWork = demand.prefillWork;
        balance.decodeWork = demand.decodeWork;
    } else {
        const auto elapsed = std::chrono::duration<double>(now - balance.observedAt).count();
        const auto weight = 1 - std::exp(-elapsed / std::chrono::duration<double>(balance.settings.window).count());
        balance.prefillWork = movingAverage(balance.prefillWork, demand.prefillWork, weight);
        balance.decodeWork = movingAverage(balance.decodeWork, demand.decodeWork, weight);
    }
    balance.observedAt = now;
}

auto desiredRoleChange(const RoleBalance& balance, TimePoint now, const RoleDemand& demand) -> int
{
    const auto total = demand.prefillReplicas + demand.decodeReplicas;
    if (!balance.busySince || now - *balance.busySince < balance.settings.warmUp || total < 2)
        return 0;
    if (balance.changedAt != TimePoint() && now - balance.changedAt < balance.settings.cooldown)
        return 0;
    const auto weighted = balance.prefillWork * prefillWeight;
    const auto work = balance.decodeWork + weighted;
    if (work < minWork)
        return 0;
    // In replicas of mean speed.
    const auto capacity = total + demand.prefillSurplus + demand.decodeSurplus;
    const auto wanted = std::clamp(capacity * balance.decodeWork / work, 1.0, static_cast<double>(total - 1));
    const auto difference = wanted - (demand.decodeReplicas + demand.decodeSurplus);
    if (difference < hysteresisToDecode && difference > -hysteresisToPrefill)
        return 0;
    const auto maxChange = std::max(1.0, std::floor(total * maxChangeFraction));
    return static_cast<int>(std::clamp(std::round(difference), -maxChange, maxChange));
}

auto rankForRoleChange(std::vector<BackendServer> servers) -> std::vector<BackendServer>
{
    std::ranges::sort(servers, std::ranges::greater {}, &BackendServer::id);
    std::map<std::string, std::vector<BackendServer>> zones;
    for (auto& server : servers)
        zones[server.availabilityZone].push_back(std::move(server));
    std::vector<BackendServer> order;
    while (order.size() < servers.size()) {
        auto& largestZone = std::ranges::max_element(zones, {}, [](const auto& zone) { return zone.second.size(); })->second;
        order.push_back(std::move(largestZone.back()));
        largestZone.pop_back();
    }
    return order;
}

auto recordRoleChange(RoleBalance& balance, TimePoint now) -> void
{
    balance.changedAt = now;
}

}
