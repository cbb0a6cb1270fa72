#pragma once

/// The services of the active configuration at this instance. A request keeps the service and the
/// configuration that it got on arrival, even if another configuration is activated later.

#include "BackendLimits.h"
#include "BackendPauses.h"
#include "ConfigurationIndex.h"
#include "EngineMonitor.h"
#include "ModelService.h"
#include "PlainService.h"
#include "SpeedReporter.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jayhold {

class ServiceTable {
public:
    ServiceTable(EntryContext& context, AtMostOnceRecords& records, EngineMonitor::ReclaimCheck shouldReclaimFor);

    auto updateConfiguration(std::shared_ptr<const Configuration> configuration) -> void;
    auto updateBackends(std::vector<BackendServer> backends) -> void;
    auto updateInstanceCount(std::uint32_t instanceCount) -> void;
    /// Replaces the names of the live instances, including this one, which divide the limits of backend servers.
    auto updateInstances(std::vector<std::string> instances) -> void;
    /// @return the reservations of this instance on the engines of all model services.
    auto usage() const -> std::vector<BackendUsage>;
    /// Replaces the known reservations of all peers.
    auto updatePeerUsage(std::span<const BackendUsage> usages) -> void;
    auto handleCrashSignature(std::uint64_t signature) -> void;
    auto handleCrashSuspect(const CrashSuspect& suspect) -> void;
    auto handlePromptReport(const PromptReport& report) -> void;
    /// Allows this instance to run one request with a blocked prompt part or crash signature.
    auto allowTrial(const std::string& service, std::uint64_t part) -> void;
    /// Replaces the list of blocked prompt parts of a model service, or crash signatures of a plain one. The service may
    /// not be known yet.
    auto updateBlockedParts(const std::string& service, std::vector<ListedPart> parts) -> void;
    /// Processes what a response of a backend server says about the server. One that is leaving gets no new work from
    /// then on, until the next list of backend servers shows its state.
    /// @param sentAt when the call was sent.
    /// @return the server that has responded, if it is leaving.
    auto handleNotice(const BackendServer& server, TimePoint sentAt, const BackendNotice& notice) -> std::optional<BackendServer>;
    /// Handles that a server has served the first request after its pause.
    auto handleReturn(const BackendServer& server) -> void;
    /// @return the limits that this instance has recently observed.
    auto limitReports() const -> std::vector<LimitReport>;
    /// Processes the limits that a peer has observed.
    auto handleLimitReports(std::span<const LimitReport> reports) -> void;
    /// @return the observed speeds of backend servers that the next load message reports.
    auto speedReports() -> std::vector<SpeedReport>;
    /// Processes the speeds that another instance has observed.
    auto handleSpeedReports(std::string_view instance, std::span<const SpeedReport> reports) -> void;
    /// Tells all shards that the instance is draining, also those of services that are added later.
    auto startDraining(const DrainStarted& drain) -> void;
    auto stop() -> void;

    /// @return the index of the active configuration, or null before the first configuration.
    auto configurationIndex() const -> std::shared_ptr<const ConfigurationIndex>;
    auto modelService(std::string_view name) const -> std::shared_ptr<ModelService>;
    auto plainService(std::string_view name) const -> std::shared_ptr<PlainService>;
    /// Appends the current gauges and counters of the services.
    auto addSamples(std::vector<Metrics::Sample>& samples) const -> void;
    /// Appends the state of the retry budgets of all services.
    auto addRetrySamples(std::vector<Metrics::Sample>& samples) const -> void;
    auto modelServices() const -> std::vector<std::shared_ptr<ModelService>>;
    auto plainServices() const -> std::vector<std::shared_ptr<PlainService>>;

private:
    struct Model {
        std::shared_ptr<ModelService> service;
        /// Null where engines are not polled.
        std::shared_ptr<EngineMonitor> monitor;
    };

    auto addModelLocked(const ConfigurationIndex& index, const Service& service) -> void;
    auto addPlainLocked(const Service& service) -> void;
    auto removeMissingLocked(const ConfigurationIndex& index) -> void;
    auto applyBackendsLocked() -> void;
    /// @return the server that has responded to a call, or nothing if it isn't known.
    auto responderLocked(const BackendServer& called, const BackendNotice& notice) const -> std::optional<BackendServer>;
    auto markLeavingLocked(const BackendServer& server) -> void;
    /// Records the limit that a response of a backend server names, or that it names none.
    auto recordLimitLocked(const BackendServer& server, TimePoint sentAt, std::optional<double> perSecond) -> void;
    /// Records that a server wants no requests from this instance for some time.
    auto recordPauseLocked(const BackendServer& server, Duration delay) -> void;
    /// Updates the known pauses before the list of servers is passed to the services.
    auto updatePausesLocked() -> void;
    /// Appends how the speeds of the backend servers of each service differ.
    auto addSpeedSamples(std::vector<Metrics::Sample>& samples) const -> void;
    /// Appends the remaining times of the pauses.
    auto addPauseSamplesLocked(std::vector<Metrics::Sample>& samples) const -> void;
    /// Passes this instance's shares of the limits to the services.
    auto applyLimitsLocked() -> void;

    EntryContext& m_context;
    AtMostOnceRecords& m_records;
    const EngineMonitor::ReclaimCheck m_shouldReclaimFor;

    mutable std::mutex m_lock;
    std::shared_ptr<const ConfigurationIndex> m_index;
    std::map<std::string, Model, std::less<>> m_modelServices;
    std::map<std::string, std::shared_ptr<PlainService>, std::less<>> m_plainServices;
    /// Services that a configuration has dropped, while they still have requests. They must know which servers
    /// leave, and when the instance ends its requests.
    std::vector<std::weak_ptr<ModelService>> m_retiredServices;
    std::vector<BackendServer> m_backends;
    BackendLimits m_limits;
    BackendPauses m_pauses;
    SpeedReporter m_speedReporter;
    /// Number of pauses that servers have asked for since the start.
    std::uint64_t m_pauseCount = 0;
    /// Empty until the instances are known.
    std::vector<std::string> m_instances;
    std::optional<TimePoint> m_instancesKnownSince;
    /// The last lists of blocked prompt parts, by service.
    std::map<std::string, std::vector<ListedPart>> m_blockedParts;
    /// 0 while it is not known.
    std::uint32_t m_instanceCount = 0;
    /// Empty while the instance is not draining.
    std::optional<DrainStarted> m_drain;
};

}
