#pragma once

/// Simulation of many gossiping instances in virtual time with the real messages, for the tests and
/// benchmarks of the cluster library. Messages can be lost, instances can stop and freeze, and the network
/// can be partitioned.

#include "Membership.h"
#include "VersionedCopy.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace jayhold {

struct GossipSimulationSettings {
    std::size_t zones = 1;
    std::size_t instancesPerZone = 47;
    /// Percentage of messages that are lost, for requests and replies alike.
    unsigned lossPercent = 0;
    std::uint64_t seed = 1;
    /// Whether all instances have the instance list from the start. Otherwise they only know one seed
    /// address.
    bool hasInstanceList = true;
};

/// State and statistics of a simulated instance.
struct GossipInstance {
    Membership membership;
    VersionedCopy configuration;
    bool isRunning = true;
    bool isFrozen = false;
    /// Instances reach each other only within the same network partition.
    int networkPartition = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t largestBody = 0;
    int suspicions = 0;
    std::vector<std::string> lost;
    bool hasVersionDecreased = false;
};

class GossipSimulation {
public:
    explicit GossipSimulation(const GossipSimulationSettings& settings);

    /// Lets every running instance send one round. Rounds are 500 ms apart.
    auto round() -> void;
    auto rounds(int count) -> void;
    /// Runs rounds until a condition holds.
    /// @return the number of rounds, or -1 if the condition did not hold within the limit.
    auto roundsUntil(const std::function<bool()>& condition, int limit) -> int;

    auto instances() -> std::vector<GossipInstance>& { return m_instances; }
    auto now() const -> TimePoint { return m_now; }
    /// @return whether all running instances have this version.
    auto haveVersion(std::int64_t version) const -> bool;
    /// @return whether every running instance knows exactly the running instances of its zone.
    auto isConverged() const -> bool;

private:
    auto addInstance(std::size_t zone, std::size_t number) -> void;
    auto setInitialContacts(bool hasInstanceList) -> void;
    auto send(std::size_t from, const GossipTarget& target) -> void;
    auto recordActions(GossipInstance& instance, const std::vector<MembershipAction>& actions) -> void;
    auto receive(std::size_t index, const GossipMessage& message) -> void;
    auto isDelivered(std::size_t from, std::size_t to) -> bool;

    GossipSimulationSettings m_settings;
    RandomSource m_random;
    std::vector<GossipInstance> m_instances;
    std::map<HttpEndpoint, std::size_t> m_byEndpoint;
    TimePoint m_now { std::chrono::seconds(1'000) };
};

}
