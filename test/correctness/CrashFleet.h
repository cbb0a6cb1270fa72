#pragma once

/// A fleet of entry instances whose engines crash when they begin an answer to a prompt with a certain part.
/// Instances start, are cut off from each other or from the shared list, and lose messages. It runs in
/// virtual time.

#include "ShardHarness.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace jayhold::test {

struct CrashFleetSettings {
    std::uint32_t seed = 1;
    std::size_t instances = 6;
    std::uint32_t decodeEngines = 24;
    /// Fraction of the requests that have the crashing part.
    double crashingShare = 0.15;
    double messageLoss = 0;
    /// Crashes after which the limit holds.
    std::size_t boundCrashes = 5;
    /// Time before the first request with the part.
    Duration calmTime = std::chrono::seconds(8);
    Duration length = std::chrono::seconds(48);
};

/// A harmless request with the same first part as the crashing ones.
struct HarmlessRequest {
    TimePoint arrivedAt {};
    bool hasBegun = false;
};

class CrashFleet {
public:
    static constexpr TimePoint start { std::chrono::seconds(1'000) };
    /// Time for which an instance must have been undisturbed to be bound by the limit.
    static constexpr Duration stableTime = std::chrono::seconds(3);

    explicit CrashFleet(CrashFleetSettings settings);

    auto run() -> void;

    /// Replaces an instance by a new process that knows nothing.
    auto restart(std::size_t instance) -> void;
    /// Cuts an instance off from the other instances. It is bound meanwhile, because it reaches the store.
    auto cutFromPeers(std::size_t instance, Duration time) -> void;
    /// Cuts an instance off from the shared list.
    auto cutFromStore(std::size_t instance, Duration time) -> void;
    /// Calls a function at a time after the start.
    auto at(Duration time, std::function<void()> action) -> void;

    std::size_t crashes = 0;
    /// Calls for requests with the part that undisturbed instances sent after the bound.
    std::size_t callsAfterBound = 0;
    /// Harmless requests with the same first part as the crashing ones: arrived and finished after the bound.
    std::size_t harmlessArrived = 0;
    std::size_t harmlessFinished = 0;
    /// @return whether harmless requests begin at least half as often as before the first crash, from 6 s after the fifth
    /// crash on, or after the last if there are fewer. There must be 20 of each for a comparison.
    auto servesHarmlessRequests() const -> bool;

private:
    static constexpr Duration step = std::chrono::milliseconds(5);

    struct Request {
        std::vector<std::uint64_t> parts;
        bool isCrashing = false;
        std::uint32_t tokens = 0;
        bool isCounted = false;
        /// Index of its entry in m_harmless.
        std::optional<std::size_t> harmless;
    };
    struct Decode {
        StartDecode start;
        TimePoint next;
    };
    struct Instance {
        ShardHarness harness { fleetSettings() };
        std::map<RequestId, Request> requests;
        std::map<RequestId, std::pair<StartPrefill, TimePoint>> prefills;
        std::map<RequestId, Decode> decodes;
        TimePoint undisturbedSince = start;
        TimePoint cutFromPeersUntil = start;
        TimePoint cutFromStoreUntil = start;
        std::uint64_t readRevision = 0;
        TimePoint nextRead = start;
    };
    struct Message {
        TimePoint arrivesAt;
        std::size_t receiver;
        DecisionEvent event;
    };
    struct Engine {
        std::uint64_t process = 0;
        bool isDown = false;
        TimePoint backAt {};
    };

    static auto fleetSettings() -> ShardSettings;
    auto chance(double probability) -> bool { return std::uniform_real_distribution(0.0, 1.0)(m_random) < probability; }
    auto makeInstance() -> std::unique_ptr<Instance>;
    auto addReplicas(Instance& instance) -> void;
    auto reportDecodeEngine(Instance& instance, std::uint32_t engine) -> void;
    auto arrive() -> void;
    auto advanceEngines() -> void;
    auto crash(std::uint32_t engine) -> void;
    auto advance(std::size_t index) -> void;
    auto send(std::size_t index, const DecisionEvent& event) -> void;
    auto countCall(const Instance& instance, const Request& request) -> void;
    auto scheduleWrite(std::size_t writer, const UpdateBlockedPart& update) -> void;
    auto write(const UpdateBlockedPart& update) -> void;
    /// Passes the shared list to the instances that reach it and have not read its current revision.
    auto readList() -> void;
    auto broadcast(std::size_t sender, const DecisionEvent& event) -> void;
    auto isPastBound(Duration margin) const -> bool { return m_boundAt && m_now >= *m_boundAt + margin; }

    const CrashFleetSettings m_settings;
    std::minstd_rand m_random;
    TimePoint m_now = start;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<Engine> m_engines;
    std::deque<Message> m_messages;
    std::multimap<TimePoint, std::function<void()>> m_scheduled;
    /// The list of blocked parts in the store.
    std::vector<ListedPart> m_listed;
    std::uint64_t m_listRevision = 1;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastProcess = 0;
    /// When the limit begins to hold.
    std::optional<TimePoint> m_boundAt;
    std::vector<TimePoint> m_crashTimes;
    std::vector<HarmlessRequest> m_harmless;
};

}
