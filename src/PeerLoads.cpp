#include "PeerLoads.h"

namespace jayhold {

auto applyMessage(PeerLoads& loads, TimePoint now, LoadMessage message) -> bool
{
    if (loads.instances.size() >= loads.maxInstances && !loads.instances.contains(message.instance))
        return false;
    auto& report = loads.instances[message.instance];
    if (report.incarnation == message.incarnation && report.sequence >= message.sequence)
        return false;
    report = { std::move(message.incarnation), message.sequence, now, std::move(message.usages) };
    return true;
}

auto removeSilentInstances(PeerLoads& loads, TimePoint now) -> bool
{
    return std::erase_if(loads.instances, [&](const auto& entry) { return now - entry.second.receivedAt >= loads.lifetime; }) > 0;
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
