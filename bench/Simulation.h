#pragma once

/// Simulates one run: engines, entry instances, callers, reports and faults on one virtual clock.

#include "Callers.h"
#include "Cell.h"
#include "Engines.h"
#include "EntryInstance.h"
#include "SlotSharing.h"

#include <memory>

namespace jayhold::bench {

class Simulation {
public:
    Simulation(const Cell& cell, const Faults& faults, std::span<const CallerRequest> requests);

    /// Runs until every caller has its final response or the time limit after the last arrival is
    /// reached.
    auto run() -> Metrics;

private:
    auto addInstances() -> void;
    auto setListeners() -> void;
    auto sendCrashReports(std::size_t reporter, const ReportCrash& report) -> void;
    auto settingsFor(std::size_t instance, ZoneId zone) const -> ShardSettings;
    auto send(std::size_t caller) -> void;
    auto instanceFor(std::size_t caller) const -> std::size_t;
    auto publishReplicaState(std::size_t engine, ReplicaState state) -> void;
    auto sendReplicaState(std::size_t instance, std::size_t engine, ReplicaState state) -> void;
    auto aliveChanged(std::size_t engine, bool alive) -> void;
    auto scheduleFaults() -> void;
    auto scheduleEvery(Duration interval, std::function<void()> callback) -> void;
    auto reportLoads() -> void;
    auto reportLoad(std::size_t engine, std::size_t instance) -> void;
    auto reportCaches() -> void;
    auto shareSlots() -> void;

    struct SentRequest {
        RequestId id {};
        std::size_t instance = 0;
    };

    const Cell& m_cell;
    const Faults& m_faults;
    std::span<const CallerRequest> m_requests;
    EventQueue m_events;
    Network m_network;
    Metrics m_metrics;
    Engines m_engines;
    Callers m_callers;
    CallerListener m_callerListener;
    std::vector<std::unique_ptr<EntryInstance>> m_instances;
    std::vector<std::size_t> m_firstInstanceOfZone;
    SlotSharing m_slots;
    std::vector<SentRequest> m_sentRequests;
    std::mt19937_64 m_random;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_reportSequence = 0;
    bool m_running = true;
};

}
