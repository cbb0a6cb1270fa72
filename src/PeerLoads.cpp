#include "PeerLoads.h"

namespace jayhold {

auto applyMessage(PeerLoads& loads, TimePoint now, LoadMessage message) -> bool
{
    if (loads.instances.size() >= loads.maxInstances && !loads.instances.contains(message.instance))
        return false;
    const auto known = loads.instances.find(message.instance);
    const auto isKnown = known != loads.instances.end();
    if (isKnown && known->second.incarnation == message.incarnation && known->second.sequence >= message.sequence)
        return false;
    const auto usages = loads.usages - (isKnown ? known->second.usages.size() : 0) + message.usages.size();
    if (usages > loads.maxUsages)
        return false;
    loads.usages = usages;
    auto& report = isKnown ? known->second : loads.instances[message.instance];
    report = { std::move(message.incarnation), message.sequence, now, std::move(message.usages) };
    return true;
}

auto removeSilentInstances(PeerLoads& loads, TimePoint now) -> bool
{
    return std::erase_if(loads.instances, [&](const auto& entry) {
        const auto isSilent = now - entry.second.receivedAt >= loads.lifetime;
        loads.usages -= isSilent ? entry.second.usages.size() : 0;
        return isSilent;
    }) > 0;
}

auto totalUsage(const PeerLoads& loads) -> std::vector<BackendUsage>
{
    std::map<std::string, BackendUsage> sums;
    for (const auto& [instance, report] : loads.instances) {
        for (const auto& usage : report.usages) {
            auto& sum = sums[usage.backend];
            sum.backend = usage.backend;
            sum.slots += usage.slots;
            sum.memoryBlocks += usage.memoryBlocks;
            sum.prefillTokens += usage.prefillTokens;
        }
    }
    std::vector<BackendUsage> list;
    list.reserve(sums.size());
    for (auto& [backend, sum] : sums)
        list.push_back(std::move(sum));
    return list;
}

}
