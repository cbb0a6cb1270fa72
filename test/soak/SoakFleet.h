#pragma once

/// The processes of a soak run. Entry instances, backend servers and links are separate processes
/// that listen on the loopback interface only. The platform's store runs inside the soak's process.

#include "ChildProcess.h"
#include "FakeObjectStore.h"
#include "FaultPeriod.h"
#include "ScenarioClient.h"
#include "SoakCustomers.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace jayhold::soak {

/// The retry budget in the settings of the fleet's entry instances.
inline constexpr double retryBudgetRatio = 0.2;
inline constexpr int retryBudgetExtra = 12;

/// Time within which a process must start, or exit after it was killed.
inline constexpr Duration startTimeout = std::chrono::seconds(10);

/// The start of work on a request, or its rejection, as a backend server logged it.
struct BackendRun {
    std::string request;
    std::string backend;
    bool isPrefill = false;
    /// Time on the steady clock, which all processes share.
    TimePoint at {};
    /// Identifies the process of the backend server.
    std::string process;
    std::size_t backendIndex = 0;
    /// Whether its answer says that the server is leaving.
    bool isLeaving = false;
    /// The retry delay with which it was rejected; zero if it runs.
    Duration retryDelay {};
    /// The name of the customer that it arrived with; empty if none.
    std::string customer {};
};

/// The time for which a process of an engine was listed as ready with a software version.
struct VersionPeriod {
    std::size_t backendIndex = 0;
    std::string version;
    TimePoint from {};
    TimePoint until = TimePoint::max();
};

/// The time limit of the routes while the values of the configuration are low. More than the longest pause of all
/// servers and less than callerTimeout, so that it ends requests that the pause delays.
inline constexpr std::chrono::milliseconds lowRouteTimeout { 1'800 };

/// The smallest machine has 88 MB. An instance may use 64 MB, as docs/CAPACITY.md says.
inline constexpr std::int64_t maxMemoryKb = 65'536;

/// Begins the names of the backend servers whose answers never end.
inline constexpr std::string_view endlessPrefix = "endless-";
/// The parts of an answer that never end; one server for each.
inline constexpr std::array<std::string_view, 3> endlessParts { "head", "body", "event" };

/// An unexpected exit of an entry instance, or a limit that it exceeded, and when.
struct EntryFailure {
    std::string text;
    TimePoint from {};
    TimePoint until {};
};

/// Period in which all backend servers were stopped.
struct PausePeriod {
    TimePoint from {};
    TimePoint until {};
};

class SoakFleet {
public:
    /// @param programs directory of the programs.
    /// @param hasCustomers whether the configuration has customers, and the backend servers different speeds.
    /// @throws std::runtime_error if a process does not start.
    SoakFleet(std::string programs, const FleetSize& size, bool hasCustomers = false);
    ~SoakFleet();
    SoakFleet(const SoakFleet&) = delete;
    auto operator=(const SoakFleet&) -> SoakFleet& = delete;

    auto begin(const PlannedFault& fault) -> void;
    auto end(const PlannedFault& fault) -> void;

    /// @return the address of an entry instance for callers, whether or not its process runs.
    auto entryEndpoint(std::size_t index) const -> HttpEndpoint;
    auto isReady(std::size_t index) -> bool;
    /// Waits until all entry instances are ready.
    auto waitUntilReady(Duration timeout) -> bool;
    /// Stops some entry instances with SIGTERM at the same time and starts them again.
    /// @return the errors of the shutdowns, one for each process that did not exit with code 0 in time.
    auto restartGracefully(std::size_t first, std::size_t count) -> std::vector<EntryFailure>;
    auto markLeaving(std::size_t backend, bool isLeaving) -> void;
    /// Writes a new configuration and stops all backend servers for a moment while it takes effect.
    auto pauseBackendsBesideChange(Duration pauseTime) -> PausePeriod;
    /// Stops all backend servers, writes a configuration with lower time limits and sizes, and lets them go on.
    /// @param changeTime time from the beginning of the pause until the change.
    auto pauseBackendsBesideLowerValues(Duration pauseTime, Duration changeTime) -> PausePeriod;
    /// Writes a configuration with the usual values.
    auto raiseValues() -> void;
    /// Writes a configuration with a higher version and one more route.
    auto putConfiguration() -> void;
    /// Withdraws the key of one customer and adds that of another one.
    /// @return when the store had accepted the change.
    auto changeKeys() -> TimePoint;
    /// @return for each entry instance the version of its active configuration, or the version of the last call if
    /// it could not be read.
    auto activeVersions() -> std::vector<int>;
    /// @return the entry instances on which the newest configuration is not active, or its newest route is unknown.
    auto findOutdatedEntries() -> std::vector<std::string>;
    /// @return the releases after which all engines have the same software version.
    auto planRestOfRelease() const -> std::vector<PlannedFault>;
    auto setStoreDown(bool isDown) -> void { m_store.setDown(isDown); }
    /// Starts the backend servers again that a request has crashed.
    /// @param downTime time that they stay down at least.
    auto restartCrashed(Duration downTime) -> void;
    auto saveStoreCopy() -> void { m_store.saveCopy(); }
    /// Restores the store; its other writers then write their objects again.
    auto restoreStore() -> void;
    /// Starts backend servers whose answers never end, in a head, in a body and in an event of a stream, and lists them.
    auto startEndlessBackends() -> void;
    /// Removes them from the list; their processes go on until the end of the run, so that nothing takes it for a crash.
    auto removeEndlessBackends() -> void;
    /// @return the memory in kB that each entry instance uses now; 0 if its process has exited.
    auto memoryOfEntries() -> std::vector<std::int64_t>;
    auto backendName(std::size_t index) const -> const std::string& { return m_backends[index].name; }

    /// @return the runs of all backend servers, including killed ones.
    auto runs() const -> std::vector<BackendRun>;
    /// @return the requests that backend servers rejected with a retry delay.
    auto rejections() const -> std::vector<BackendRun>;
    /// @return the requests and calls with the credentials of a customer that backend servers received.
    auto keyArrivals() const -> std::vector<BackendRun>;
    /// @return the periods of all decode engines, ordered by start time.
    auto versionPeriods() const -> const std::vector<VersionPeriod>& { return m_versionPeriods; }
    /// @return the crashes that requests caused.
    auto crashes() const -> std::vector<BackendRun>;
    auto faultPeriods() const -> const std::vector<FaultPeriod>& { return m_faultPeriods; }
    /// @return the log lines of all entry instances.
    auto entryLogs() const -> std::vector<std::string>;
    /// @return the lines of each backend server and link that is running, after its name.
    auto standinOutput() const -> std::vector<std::pair<std::string, std::vector<std::string>>>;
    auto threads() -> IoThreads& { return m_threads; }
    /// @return the unexpected exits of entry instances and their exceeded limits on memory and
    /// descriptors.
    auto findEntryFailures() -> std::vector<EntryFailure>;

    /// Time after a SIGTERM within which an entry instance must exit.
    static constexpr Duration shutdownGracePeriod = std::chrono::seconds(4);
    /// Time after the store's acknowledgement within which a leaving backend server may still get
    /// new work.
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
        /// Number of the software version.
        int version = 1;
        /// Its speed in percent of the nominal one.
        std::int64_t speedPercent = 100;
        std::unique_ptr<ChildProcess> process;
        HttpEndpoint endpoint;
        bool isLeaving = false;
        /// Start time of the process in milliseconds, as its entry in the store names it.
        std::int64_t born = 0;
    };
    struct Entry {
        std::unique_ptr<ChildProcess> process;
        std::string address;
        std::string settingsFile;
        bool isExitExpected = false;
        /// The last version read of its active configuration.
        int activeVersion = 0;
    };

    /// @param event the event of the log lines.
    auto backendRuns(std::string_view event) const -> std::vector<BackendRun>;
    auto startLink(const HttpEndpoint& target) -> Link;
    static auto versionName(int version) -> std::string;
    auto startBackend(Backend& backend, std::uint16_t port) -> void;
    auto startEntry(Entry& entry) -> void;
    /// Keeps the output of a process that has exited.
    /// Waits until an instance exits that has got SIGTERM.
    /// @return its exit code, or the state of its threads if it does not exit in time.
    static auto waitForShutdown(Entry& entry, TimePoint end) -> std::pair<std::optional<int>, std::string>;
    static auto keepOutput(std::vector<std::string>& lines, std::unique_ptr<ChildProcess> process) -> void;
    /// Keeps the output of a backend server that has exited, and records the time for which it was down if a request
    /// has crashed it.
    auto keepBackendOutput(Backend& backend) -> void;
    auto parseRuns(std::span<const std::string> lines, std::string_view event) const -> std::vector<BackendRun>;
    auto registerBackend(std::size_t index) -> void;
    auto putServer(const Backend& backend, const HttpEndpoint& address) -> void;
    auto writeConfiguration() -> void;
    auto setLinkFaults(std::size_t index, const std::string& faults) -> void;
    auto beginEntryFault(const PlannedFault& fault) -> void;
    auto endEntryFault(const PlannedFault& fault) -> void;
    auto beginBackendFault(const PlannedFault& fault) -> void;
    auto endBackendFault(const PlannedFault& fault) -> void;
    /// @return the period of a fault that has begun and not ended.
    auto findActivePeriod(const PlannedFault& fault) -> FaultPeriod&;
    auto newestVersion() const -> int;
    /// Replaces an engine by one with the newest software version, or the next one if it has that, at another address.
    auto replaceEngine(std::size_t index, bool keepsId) -> void;
    /// Records the beginning and the end of the period of a version.
    auto beginVersion(std::size_t index) -> void;
    auto endVersion(std::size_t index) -> void;

    const std::string m_programs;
    const bool m_hasCustomers;
    IoThreads m_threads { 1 };
    FakeObjectStore m_store { m_threads };
    ScenarioClient m_client;
    std::vector<Backend> m_backends;
    std::vector<Backend> m_endlessBackends;
    std::vector<Link> m_links;
    std::vector<Entry> m_entries;
    std::vector<std::string> m_endedBackendOutput;
    std::vector<std::string> m_endedEntryOutput;
    std::vector<EntryFailure> m_unexpectedExits;
    std::vector<FaultPeriod> m_faultPeriods;
    std::vector<VersionPeriod> m_versionPeriods;
    /// The backend servers by identifier, including former ones.
    std::map<std::string, std::size_t, std::less<>> m_backendIndexes;
    int m_configurationVersion = 0;
    bool m_hasLowValues = false;
    bool m_areKeysChanged = false;
    std::int64_t m_backendStartCount = 0;
};

}
