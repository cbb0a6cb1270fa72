#include "PeerLoads.h"

namespace jayhold {

auto applyMessage(PeerLoads& loads, TimePoint now, LoadMessage message) -> bool
{
    auto& told = loads.instances[message.instance];
    if (told.run == message.run && told.sequence >= message.sequence)
        return false;
    told = { std::move(message.run), message.sequence, now, std::move(message.uses) };
    return true;
}

auto removeSilentInstances(PeerLoads& loads, TimePoint now) -> bool
{
    return std::erase_if(loads.instances, [&](const auto& entry) { return now - entry.second.receivedAt >= loads.lifetime; }) > 0;
}

auto totalUse(const PeerLoads& loads) -> std::vector<BackendUsage>
{
    std::map<std::string, BackendUsage> sums;
    for (const auto& [instance, told] : loads.instances) {
        for (const auto& use : told.uses) {
            auto& sum = sums[use.backend];
            sum.backend = use.backend;
            sum.slots += use.slots;
            sum.memoryBlocks += use.memoryBlocks;
            sum.prefillTokens += use.prefillTokens;
        }
    }
    std::vector<BackendUsage> list;
    list.reserve(sums.size());
    for (auto& [backend, sum] : sums)
        list.push_back(std::move(sum));
    return list;
}

}
