#pragma once

/// The processes of a soak run: entry instances, backend servers and links are processes of their
/// own, each reached over loopback only; the platform's store runs in the soak's process.

#include "ChildProcess.h"
#include "FakeObjectStore.h"
#include "FaultPlan.h"
#include "ScenarioClient.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jayhold::soak {

/// One start of work on a request, as a backend server printed it.
struct BackendRun {
    std::string request;
    std::string backend;
    bool isPrefill = false;
    /// On the steady clock, which all processes share.
    TimePoint at {};
};

class SoakFleet {
public:
    /// @param programs folder of the programs.
    /// @throws std::runtime_error where a process does not start.
    SoakFleet(std::string programs, const FleetSize& size);
    ~SoakFleet();
    SoakFleet(const SoakFleet&) = delete;
    auto operator=(const SoakFleet&) -> SoakFleet& = delete;

    auto begin(const PlannedFault& fault) -> void;
    auto end(const PlannedFault& fault) -> void;

    /// @return where callers reach an entry instance, whether or not its process runs.
    auto entryEndpoint(std::size_t index) const -> HttpEndpoint;
    auto isReady(std::size_t index) -> bool;
    /// Waits until all entry instances are ready.
    auto waitUntilReady(Duration timeout) -> bool;
    /// Ends an entry instance with SIGTERM and starts it again.
    /// @return what went wrong; empty where it ended in order.
    auto restartGracefully(std::size_t index) -> std::string;
    auto markLeaving(std::size_t backend, bool isLeaving) -> void;
    auto backendName(std::size_t index) const -> const std::string& { return m_backends[index].name; }

    /// @return all that the backend servers have run, those included that were killed.
    auto runs() const -> std::vector<BackendRun>;
    /// @return the log lines of all entry instances.
    auto entryLogs() const -> std::vector<std::string>;
    /// @return how entry instances ended that should not have, and what they use too much of.
    auto findEntryFailures() -> std::vector<std::string>;

    /// Time after a SIGTERM in which an entry instance has to end.
    static constexpr Duration shutdownGracePeriod = std::chrono::seconds(4);
    /// Time after the store's acknowledgement after which a leaving backend server gets no new work.
    static constexpr Duration maxDeregistrationDelay = std::chrono::seconds(2);

private:
    struct Link {
        std::unique_ptr<ChildProcess> process;
        HttpEndpoint endpoint;
        HttpEndpoint admin;
    };
    struct Backend {
        std::string name;
        std::string service;
        std::string phase;
        std::unique_ptr<ChildProcess> process;
        HttpEndpoint endpoint;
        bool isLeaving = false;
    };
    struct Entry {
        std::unique_ptr<ChildProcess> process;
        std::string address;
        std::string settingsFile;
        bool isExitExpected = false;
    };

    auto startLink(const HttpEndpoint& target) -> Link;
    auto startBackend(Backend& backend, std::uint16_t port) -> void;
    auto startEntry(Entry& entry) -> void;
    auto keepOutput(std::unique_ptr<ChildProcess> process, bool isEntry) -> void;
    auto registerBackend(std::size_t index) -> void;
    auto putConfiguration() -> void;
    auto setLinkFaults(std::size_t index, const std::string& faults) -> void;
    auto beginEntryFault(const PlannedFault& fault) -> void;
    auto endEntryFault(const PlannedFault& fault) -> void;
    auto beginBackendFault(const PlannedFault& fault) -> void;
    auto endBackendFault(const PlannedFault& fault) -> void;

    const std::string m_programs;
    IoThreads m_threads { 1 };
    FakeObjectStore m_store { m_threads };
    ScenarioClient m_client;
    std::vector<Backend> m_backends;
    std::vector<Link> m_links;
    std::vector<Entry> m_entries;
    std::vector<std::string> m_endedBackendOutput;
    std::vector<std::string> m_endedEntryOutput;
    std::vector<std::string> m_unexpectedExits;
    int m_configurationVersion = 0;
    std::int64_t m_backendStartCount = 0;
};

}
