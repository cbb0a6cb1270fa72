#pragma once

/// Instances that apply quotas over a simulated network, in virtual time: messages are delayed and lost, zones and instances
/// are cut off, and instances restart, stand still and receive configurations at different times.

#include "QuotaOwner.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jayhold::test {

struct QuotaFleetSettings {
    std::uint64_t seed = 1;
    std::size_t zones = 3;
    std::size_t instancesPerZone = 4;
    /// Fraction of the datagrams that are lost.
    double loss = 0;
    QuotaLimits limits { std::chrono::seconds(8), 0.1, 190'000 };
};

class QuotaFleet {
public:
    struct Request {
        TimePoint at {};
        std::int64_t amount = 0;
        bool isGranted = false;
    };

    explicit QuotaFleet(QuotaFleetSettings settings);

    /// Sends the configuration to the instances, each of which gets it within the delay.
    auto setQuota(const Quota& quota, Duration maxDelay = {}) -> void;
    /// Runs the requests and messages up to a time since the start.
    auto runUntil(Duration end) -> void;
    /// Calls an action at a time since the start.
    auto at(Duration time, std::function<void()> action) -> void;
    auto request(std::size_t instance, std::int64_t amount) -> void;
    /// Returns the amount of each granted request after this time, with this probability.
    auto returnGrants(Duration after, double probability) -> void;

    auto cutZone(std::size_t zone, bool isCut) -> void { m_cutZones[zone] = isCut; }
    /// Separates the instances of a zone with odd numbers from those with even ones.
    auto splitZone(std::size_t zone, bool isSplit) -> void { m_splitZones[zone] = isSplit; }
    auto cutInstance(std::size_t instance, bool isCut) -> void { m_instances[instance].isCut = isCut; }
    auto restart(std::size_t instance) -> void;
    auto pause(std::size_t instance, Duration time) -> void;

    auto size() const -> std::size_t { return m_instances.size(); }
    auto random() -> std::mt19937_64& { return m_random; }
    auto owner(std::size_t instance) -> QuotaOwner& { return m_instances[instance].owner; }
    /// Decided requests in the order of their decisions; those that were returned are not granted.
    auto requests() const -> const std::vector<Request>& { return m_requests; }
    auto start() const -> TimePoint { return m_start; }
    auto now() const -> TimePoint { return m_now; }

private:
    struct Instance {
        std::string name;
        std::size_t zone = 0;
        QuotaOwner owner;
        bool isCut = false;
        TimePoint pausedUntil {};
        /// Distinguishes the processes of the instance.
        std::uint64_t run = 0;
    };

    auto startInstance(std::size_t index) -> void;
    auto sendPresence(std::size_t index) -> void;
    auto deliver(std::size_t index, std::uint64_t run, std::function<void(Instance&)> handle) -> void;
    auto process(std::size_t index, const QuotaOutput& output) -> void;
    auto isConnected(const Instance& left, const Instance& right) const -> bool;
    auto isLost() -> bool;
    auto delayBetween(const Instance& left, const Instance& right) -> Duration;

    const QuotaFleetSettings m_settings;
    std::mt19937_64 m_random;
    const TimePoint m_start { std::chrono::seconds(1'000) };
    TimePoint m_now = m_start;
    std::vector<Instance> m_instances;
    std::vector<PeerAddress> m_addresses;
    std::vector<bool> m_cutZones;
    std::vector<bool> m_splitZones;
    std::optional<Quota> m_quota;
    Duration m_returnAfter {};
    double m_returnProbability = 0;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::uint64_t, std::int64_t> m_open;
    std::vector<Request> m_requests;
};

}
