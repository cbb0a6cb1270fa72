// Measures the cost of the cluster library: gossip traffic by number of instances, memory per member,
// rounds until all instances have a new configuration, and record operations per write to the platform.
// The state machines run in virtual time with their real messages but without sockets.
#include "../test/GossipSimulation.h"
#include "RecordPartition.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <queue>

using namespace jayhold;
using namespace std::chrono_literals;

namespace {

constexpr double roundSeconds = 0.5;

auto processorSeconds() -> double
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

auto allocatedBytes() -> std::size_t
{
    return mallinfo2().uordblks;
}

struct ClusterSize {
    std::size_t zones;
    std::size_t instancesPerZone;
};

auto measureGossip(ClusterSize clusterSize, int warmUp, int rounds) -> void
{
    const auto before = allocatedBytes();
    GossipSimulation simulation({ .zones = clusterSize.zones, .instancesPerZone = clusterSize.instancesPerZone });
    simulation.rounds(warmUp);
    const auto count = static_cast<double>(simulation.instances().size());
    const auto stateBytes = static_cast<double>(allocatedBytes() - before) / count;
    for (auto& instance : simulation.instances()) {
        instance.bytesSent = 0;
        instance.bytesReceived = 0;
        instance.largestBody = 0;
    }
    const auto start = processorSeconds();
    simulation.rounds(rounds);
    const auto used = processorSeconds() - start;
    const auto seconds = rounds * roundSeconds;
    double sent = 0;
    double busiest = 0;
    std::uint64_t largest = 0;
    double peers = 0;
    for (const auto& instance : simulation.instances()) {
        sent += static_cast<double>(instance.bytesSent) / seconds / count;
        busiest = std::max(busiest, static_cast<double>(instance.bytesSent) / seconds);
        largest = std::max(largest, instance.largestBody);
        peers += static_cast<double>(instance.membership.peers.size()) / count;
    }
    std::printf("| %zu x %zu | %.0f | %.0f | %.0f | %llu | %.3f | %.0f | %.0f |\n", clusterSize.zones, clusterSize.instancesPerZone, peers, sent, busiest,
        static_cast<unsigned long long>(largest), used / seconds / count * 100, stateBytes / 1'000, stateBytes / (count - 1));
}

auto measureConfigurationSpread(ClusterSize clusterSize, bool hasWatchers, unsigned lossPercent, int tries) -> void
{
    constexpr int limit = 100;
    std::vector<int> rounds;
    GossipSimulation simulation({ .zones = clusterSize.zones, .instancesPerZone = clusterSize.instancesPerZone, .lossPercent = lossPercent });
    simulation.rounds(30);
    for (int version = 1; version <= tries; ++version) {
        auto& instances = simulation.instances();
        for (std::size_t zone = 0; zone < (hasWatchers ? clusterSize.zones : 1); ++zone) {
            for (std::size_t watcher = 0; watcher < (hasWatchers ? 2U : 1U); ++watcher)
                acceptIfNewer(instances[zone * clusterSize.instancesPerZone + watcher].configuration, version);
        }
        rounds.push_back(simulation.roundsUntil([&] { return simulation.haveVersion(version); }, limit));
    }
    std::ranges::sort(rounds);
    std::printf("| %zu x %zu | %s | %u%% | %d | %d | %.1f |\n", clusterSize.zones, clusterSize.instancesPerZone, hasWatchers ? "two in each zone" : "one instance", lossPercent,
        rounds[rounds.size() / 2], rounds.back(), rounds.back() * roundSeconds);
}

/// Simulates the load of one record partition and its store in virtual time. Each call submits a begin
/// operation and, after the call duration, a finish operation.
struct RecordLoad {
    struct Event {
        TimePoint at;
        /// Identifies an operation; 0 is the reply of the store.
        std::uint64_t operationId;

        auto operator<(const Event& other) const -> bool { return at > other.at; }
    };

    auto time() const -> RecordTime
    {
        return { now, std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() };
    }

    auto execute(const RecordActions& actions) -> void
    {
        for (const auto& action : actions) {
            if (const auto* write = std::get_if<WriteTable>(&action)) {
                // The record driver serializes the table for every write, so its cost is part of the
                // measurement.
                bytesWritten += boost::json::serialize(toJson(*write->table)).size();
                ++writes;
                events.push({ now + storeCallTime, 0 });
            } else if (std::holds_alternative<LoadTable>(action)) {
                events.push({ now + storeCallTime, 0 });
            } else if (const auto* begin = std::get_if<ReplyBegin>(&action)) {
                if (!std::holds_alternative<RecordStarted>(begin->decision)) {
                    ++refused;
                    continue;
                }
                ++done;
                totalWait += now - submitted[begin->operationId];
                events.push({ now + callDuration, begin->operationId + finishIdOffset });
            } else {
                ++done;
            }
        }
    }

    auto operation(std::uint64_t operationId) const -> RecordOperation
    {
        const auto isFinish = operationId >= finishIdOffset;
        const auto call = isFinish ? operationId - finishIdOffset : operationId;
        // In production the key is a digest of 64 characters.
        auto key = std::to_string(call);
        key.insert(0, 64 - key.size(), '0');
        RecordOperation result { operationId, std::move(key), "alpine-1-" + std::to_string(call), now + 2s, BeginRecord { std::string(64, 'd'), "alpine-1/60667525" } };
        if (isFinish)
            result.request = FinishRecord { { 200, "application/json", std::string(200, 'a') } };
        return result;
    }

    auto step() -> void
    {
        const auto event = events.top();
        events.pop();
        now = event.at;
        RecordActions actions;
        if (event.operationId != 0)
            submit(partition, time(), operation(event.operationId), actions);
        else if (partition.phase == PartitionPhase::Loading)
            tableLoaded(partition, time(), 0, {}, actions);
        else
            updateApplied(partition, time(), ++revision, actions);
        execute(actions);
    }

    static constexpr std::uint64_t finishIdOffset = 1'000'000'000;
    static constexpr auto storeCallTime = 5ms;
    static constexpr auto callDuration = 20ms;

    RecordPartition partition;
    std::priority_queue<Event> events;
    std::map<std::uint64_t, TimePoint> submitted;
    TimePoint now { 1'000s };
    std::int64_t revision = 0;
    std::uint64_t writes = 0;
    std::uint64_t done = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytesWritten = 0;
    Duration totalWait {};
};

auto measureRecords(int callsPerSecond) -> void
{
    constexpr int seconds = 10;
    RecordLoad load;
    // A retention of one second keeps the table at a constant size for each rate.
    load.partition.settings.retentionMs = 1'000;
    RandomSource random { 7 };
    auto at = load.now;
    const auto calls = callsPerSecond * seconds;
    for (int call = 1; call <= calls; ++call) {
        at += Duration(random.below(2'000'000 / static_cast<std::uint64_t>(callsPerSecond)));
        load.events.push({ at, static_cast<std::uint64_t>(call) });
        load.submitted[static_cast<std::uint64_t>(call)] = at;
    }
    const auto start = processorSeconds();
    while (!load.events.empty())
        load.step();
    const auto used = processorSeconds() - start;
    std::printf("| %d | %.1f | %.0f | %.1f | %.0f | %.1f | %llu |\n", callsPerSecond, static_cast<double>(load.done) / static_cast<double>(load.writes),
        static_cast<double>(load.writes) / seconds, static_cast<double>(load.totalWait.count()) / calls / 1'000,
        static_cast<double>(load.bytesWritten) / static_cast<double>(load.writes) / 1'000, used / seconds * 100, static_cast<unsigned long long>(load.refused));
}

auto run(bool isShort) -> void
{
    std::puts("Gossip, two rounds a second, by zones x instances:\n");
    std::puts("| instances | peers known | bytes/s sent | busiest | largest body | CPU % | state kB | state bytes per instance in the list |");
    std::puts("|---|---|---|---|---|---|---|---|");
    for (const std::size_t size : { 7, 15, 30, 47 })
        measureGossip({ 1, size }, 100, isShort ? 20 : 600);
    if (!isShort)
        measureGossip({ 18, 47 }, 100, 60);
    std::puts("\nRounds until a configuration is known to all, ten versions each (three for 18 zones):\n");
    std::puts("| instances | known first to | lost | median | most | seconds |");
    std::puts("|---|---|---|---|---|---|");
    for (const std::size_t size : { 7, 15, 30, 47 }) {
        measureConfigurationSpread({ 1, size }, true, 0, 10);
        measureConfigurationSpread({ 1, size }, false, 10, 10);
    }
    if (!isShort) {
        measureConfigurationSpread({ 18, 47 }, true, 0, 3);
        measureConfigurationSpread({ 18, 47 }, false, 0, 3);
    }
    std::puts("\nRecords, one partition, 5 ms for each call to the platform, 20 ms for each call:\n");
    std::puts("| calls/s | operations per write | writes/s | wait of a begin, ms | kB per write | CPU % | refused |");
    std::puts("|---|---|---|---|---|---|---|");
    for (const int rate : { 1, 10, 100, 500, 1'000 })
        measureRecords(rate);
}

}

auto main(int argc, char** argv) -> int
{
    const auto isShort = argc == 2 && std::strcmp(argv[1], "--short") == 0;
    if (argc > 1 && !isShort) {
        std::puts("usage: jayhold-cluster-cost [--short]");
        return std::strcmp(argv[1], "--help") == 0 ? 0 : 2;
    }
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    run(isShort);
    return 0;
}
