#include "RoleBalance.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>

namespace jayhold {

namespace {

/// Less work than this says nothing about its kind.
constexpr double leastWork = 0.5;
/// The share must be off by this part of a replica, so that it doesn't swing to and fro. Prompts that
/// queue up count more than their work, and decode replicas can prefill for a while; so the way back
/// takes more.
constexpr double hysteresisToDecode = 0.6;
constexpr double hysteresisToPrefill = 1.5;
/// Part of the replicas that may change at once.
constexpr double largestPart = 0.12;

auto fresh(double average, double value, double part) -> double
{
    return average + (value - average) * part;
}

}

auto observeDemand(RoleBalance& balance, TimePoint now, const RoleDemand& demand) -> void
{
    const auto isBusy = demand.prefillWork + demand.decodeWork >= leastWork;
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
        const auto part = 1 - std::exp(-elapsed / std::chrono::duration<double>(balance.settings.window).count());
        balance.prefillWork = fresh(balance.prefillWork, demand.prefillWork, part);
        balance.decodeWork = fresh(balance.decodeWork, demand.decodeWork, part);
    }
    balance.observedAt = now;
}

auto wantedRoleChange(const RoleBalance& balance, TimePoint now, const RoleDemand& demand) -> int
{
    const auto total = demand.prefillReplicas + demand.decodeReplicas;
    if (!balance.busySince || now - *balance.busySince < balance.settings.warmUp || total < 2)
        return 0;
    if (balance.changedAt != TimePoint() && now - balance.changedAt < balance.settings.cooldown)
        return 0;
    const auto weighted = balance.prefillWork * prefillWeight;
    const auto work = balance.decodeWork + weighted;
    if (work < leastWork)
        return 0;
    const auto wanted = std::clamp(total * balance.decodeWork / work, 1.0, static_cast<double>(total - 1));
    const auto difference = wanted - demand.decodeReplicas;
    if (difference < hysteresisToDecode && difference > -hysteresisToPrefill)
        return 0;
    const auto most = std::max(1.0, std::floor(total * largestPart));
    return static_cast<int>(std::clamp(std::round(difference), -most, most));
}

auto rankForRoleChange(std::vector<BackendServer> servers) -> std::vector<BackendServer>
{
    std::ranges::sort(servers, std::ranges::greater {}, &BackendServer::id);
    std::map<std::string, std::vector<BackendServer>> zones;
    for (auto& server : servers)
        zones[server.availabilityZone].push_back(std::move(server));
    std::vector<BackendServer> order;
    while (order.size() < servers.size()) {
        auto& most = std::ranges::max_element(zones, {}, [](const auto& zone) { return zone.second.size(); })->second;
        order.push_back(std::move(most.back()));
        most.pop_back();
    }
    return order;
}

auto recordRoleChange(RoleBalance& balance, TimePoint now) -> void
{
    balance.changedAt = now;
}

}
