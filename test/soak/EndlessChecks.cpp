#include "EndlessChecks.h"

#include <algorithm>
#include <map>
#include <set>
#include <thread>

namespace jayhold::soak {

namespace {

/// Longer than the time limit of the callers, so that calls at the servers reach it.
constexpr Duration endlessTime = std::chrono::seconds(4);
constexpr Duration memoryCheckInterval = std::chrono::milliseconds(50);
/// Time after the removal in which instances may still send requests to the servers.
constexpr Duration removalTime = std::chrono::seconds(2);
constexpr double minServedRatio = 0.95;

}

auto sendWithoutEnd(SoakFleet& fleet) -> EndlessRecord
{
    EndlessRecord record;
    record.from = monotonicNow();
    fleet.startEndlessBackends();
    const auto watchMemory = [&](Duration time) {
        for (const auto end = monotonicNow() + time; monotonicNow() < end;) {
            const auto memory = fleet.memoryOfEntries();
            record.peakMemory.resize(memory.size());
            for (std::size_t index = 0; index < memory.size(); ++index)
                record.peakMemory[index] = std::max(record.peakMemory[index], memory[index]);
            std::this_thread::sleep_for(memoryCheckInterval);
        }
    };
    watchMemory(endlessTime);
    fleet.removeEndlessBackends();
    watchMemory(removalTime + callerTimeout);
    record.until = monotonicNow();
    return record;
}

auto peakMemory(const EndlessRecord& endless) -> std::int64_t
{
    return endless.peakMemory.empty() ? 0 : std::ranges::max(endless.peakMemory);
}

auto checkEndless(std::span<const CallRecord> calls, std::span<const BackendRun> runs, const EndlessRecord& endless) -> std::vector<Violation>
{
    std::vector<Violation> violations;
    for (std::size_t index = 0; index < endless.peakMemory.size(); ++index) {
        if (endless.peakMemory[index] > maxMemoryKb)
            violations.push_back({ "bytes without end take a bounded part of the memory", "", "edge-" + std::to_string(index) + " used " + std::to_string(endless.peakMemory[index]) + " kB", endless.from, endless.until });
    }
    std::set<std::string_view> concerned;
    std::map<std::string_view, int> servers;
    for (const auto& run : runs) {
        if (!run.backend.starts_with(endlessPrefix))
            continue;
        concerned.insert(run.request);
        ++servers[run.backend];
    }
    if (servers.size() < endlessParts.size()) {
        std::string counts;
        for (const auto& [server, count] : servers)
            counts += (counts.empty() ? "" : ", ") + std::to_string(count) + " at " + std::string(server);
        violations.push_back({ "each server that sends without end gets requests", "", "only " + std::to_string(servers.size()) + " of them did (" + counts + ")", endless.from, endless.until });
    }
    double sent = 0;
    double served = 0;
    for (const auto& call : calls) {
        if (call.sentAt < endless.from || call.sentAt > endless.until || call.wasReset || !call.resumes.empty() || concerned.contains(call.request))
            continue;
        sent += 1;
        served += call.status / 100 == 2;
    }
    if (sent == 0 || served < minServedRatio * sent)
        violations.push_back({ "other callers are served beside bytes without end", "", std::to_string(served) + " of " + std::to_string(sent) + " requests served, " + std::to_string(concerned.size()) + " others at servers that send without end", endless.from, endless.until });
    return violations;
}

}
