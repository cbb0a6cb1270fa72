#include "RouterDaemon.h"

#include "BlockedPartsWriter.h"
#include "ConnectionLog.h"
#include "DisabledAtMostOnceRecords.h"
#include "DrainTimes.h"
#include "DrainWait.h"
#include "ForwardApi.h"
#include "HttpServer.h"
#include "LoadExchange.h"
#include "LoopMonitor.h"
#include "Pause.h"
#include "QuotaExchange.h"
#include "ReachedLimits.h"
#include "RoleBalancer.h"
#include "RouterHttpSettings.h"
#include "RouterSamples.h"
#include "RunId.h"
#include "ServiceTable.h"
#include "StreamVersions.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Time for which a role change reported by a peer is assumed to be in progress. The peer that ordered
/// the change repeats it in each load message while it lasts.
constexpr Duration roleChangeTtl = std::chrono::seconds(2);
constexpr Duration logFlushInterval = std::chrono::milliseconds(200);
/// This fraction (1/16) of the drain time is reserved for the exit of the process itself. It is small, because the
/// platform tolerates ended requests only in the last sixth of that time.
constexpr int drainReserveDivisor = 16;
/// Operators read the log lines on standard output, and no timeline is served from the ring buffer here.
constexpr std::size_t eventLogCapacity = 256;

/// Sets the service options that the platform's configuration doesn't contain.
auto applyForwardingPolicy(Configuration& configuration) -> void
{
    constexpr double medianQuantile = 0.5;
    for (auto& service : configuration.services) {
        service.decodeMayPrefill = true;
        service.refuseOverdue = true;
        service.memoryQuantile = medianQuantile;
    }
}

}

struct RouterDaemon::State {
    State(EntrySettings entrySettings, PlatformAdapter platformAdapter)
        : settings(std::move(entrySettings))
        , adapter(std::move(platformAdapter))
        , log(settings.instance, eventLogCapacity)
        , httpSettings(clientSettings(settings.limits, adapter.limits, log, responseLimits))
        , requestBudget(std::make_shared<RequestBudget>(requestBudgetBytes(settings.limits.memoryBytes)))
        , threads(settings.threads, httpSettings)
        , context { .settings = settings, .threads = threads, .log = log, .callerProtocol = adapter.callerProtocol, .backendProtocol = adapter.backendProtocol }
        , services(context, records, [](std::string_view, std::string_view) { return false; })
        , api(context, services)
    {
        log.setMinimumLevel(settings.logLevel);
        context.runId = uniqueRunId();
        context.handleNotice = [this](const BackendServer& server, TimePoint sentAt, const BackendNotice& notice) {
            if (auto leaving = services.handleNotice(server, sentAt, notice))
                asio::dispatch(threads.context(0), [this, server = std::move(*leaving), notice] { directory->handleLeaving(server, notice); });
        };
        context.reportReturned = [this](const BackendServer& server) { services.handleReturn(server); };
    }

    ~State()
    {
        const auto startedAt = monotonicNow();
        // Coroutines use all other components until their I/O thread has ended.
        services.stop();
        threads.stop();
        if (drainedAt)
            log.record(LogLevel::Info, "stopped", { { "since_drained_ms", (monotonicNow() - *drainedAt).count() / 1'000 }, { "threads_ms", (monotonicNow() - startedAt).count() / 1'000 } });
    }
    State(const State&) = delete;
    auto operator=(const State&) -> State& = delete;

    auto start() -> void
    {
        const auto& readiness = settings.readinessListen.value_or(settings.peerListen);
        const auto& metrics = settings.metricsListen;
        auto callerSettings = serverSettings(settings.listen, {}, adapter.limits);
        callerSettings.unknownOutcomeResponse = [this] { return context.callerProtocol.refusal(ApiError(500, "internal_error", "the request ended without a result", ExecutionOutcome::Unknown)); };
        callerSettings.requestBudget = requestBudget;
        callerSettings.noRoomResponse = [this](const HttpRequest& request) { return api.refuseUnread(request); };
        callerSettings.onLimitReached = [this](std::string_view limit) { recordLimit("callers", limit); };
        callerSettings.onConnectionClosed = [this](const ConnectionClose& close) { recordCallerClose(context, close); };
        callerServer = std::make_unique<HttpServer>(threads, callerSettings, [this](HttpExchange& exchange) { return api.handle(exchange); });
        readinessServer = std::make_unique<HttpServer>(threads, probeServerSettings(readiness), [this](HttpExchange& exchange) { return handleReadiness(exchange); });
        if (metrics)
            metricsServer = std::make_unique<HttpServer>(threads, probeServerSettings(*metrics), [this](HttpExchange& exchange) { return handleMetrics(exchange); });
        DirectoryCallbacks callbacks {
            .configuration = [this](Configuration configuration) {
                callerServer->updateLimits(serverSettings(settings.listen, configuration.limits, adapter.limits));
                applyForwardingPolicy(configuration);
                context.configurationVersion = configuration.version;
                if (quotas)
                    quotas->updateCustomers(configuration.customers);
                listedConfiguration = std::make_shared<const Configuration>(std::move(configuration));
                updateListedVersions();
                services.updateConfiguration(listedConfiguration); },
            .backends = [this](std::vector<BackendServer> backends) {
                context.hasBackendList = !backends.empty();
                listedServers = backends;
                updateListedVersions();
                services.updateBackends(std::move(backends)); },
            .instanceCount = [this](std::uint32_t count) { services.updateInstanceCount(count); },
            .instances = [this](const std::vector<std::string>& names) {
                if (context.streamVersions)
                    context.streamVersions->updateInstances(names);
                services.updateInstances(names); },
            .peers = [this](const std::vector<PeerAddress>& peers) {
                if (quotas)
                    quotas->updateInstances(peers);
                if (loadExchange)
                    loadExchange->updatePeers(peers); },
            .blockedParts = [this](const std::string& service, std::vector<ListedPart> parts) {
                blockedPartsWriter->handleList(service, parts);
                services.updateBlockedParts(service, std::move(parts)); },
            .lostBlockedParts = [this](const std::string& service, std::vector<ListedPart> parts) { blockedPartsWriter->restore(service, std::move(parts)); },
            .onStoreAvailability = [this](std::optional<TimePoint> since) { 
                context.storeUnavailableSince = since.value_or(TimePoint {}).time_since_epoch().count();
                if (context.streamVersions)
                    context.streamVersions->updateAvailability(!since); },
            .changed = [this](const std::string& kind, std::int64_t revision) {
                if (context.streamVersions)
                    context.streamVersions->handleApplied(kind == adapter.directory.backendKind, revision);
                if (loadExchange)
                    loadExchange->advanceRevision(kind, revision); },
            .revisionRefuted = [this](const std::string& kind) {
                if (loadExchange)
                    loadExchange->resetRevision(kind); },
        };
        if (settings.loadListen) {
            startLoadExchange(*settings.loadListen);
            callbacks.publishToZone = [this](const DirectoryUpdate& update) { loadExchange->sendDirectoryUpdate(update); };
        }
        startBlockedPartsWriter();
        startStreamVersions();
        DirectorySettings directorySettings { .instance = settings.instance, .availabilityZone = settings.availabilityZone, .maxPropagationDelay = settings.maxPropagationDelay };
        if (loadExchange)
            directorySettings.peerEndpoint = loadExchange->endpoint();
        directory = std::make_shared<StoreDirectory>(threads, *adapter.store, adapter.directory, std::move(directorySettings), log, std::move(callbacks));
        directory->start();
        spawnSupervised(threads.context(0).get_executor(), log, "flush log", [this] { return flushLogPeriodically(); });
        if (adapter.backendProtocol.orderRole)
            startRoleBalancer();
    }

    auto probeServerSettings(const HttpEndpoint& endpoint) -> HttpServerSettings
    {
        auto server = probeSettings(endpoint, adapter.limits, settings.limits.memoryBytes);
        server.onLimitReached = [this](std::string_view limit) { recordLimit("probes", limit); };
        server.onConnectionClosed = [this](const ConnectionClose& close) { logConnectionClose(context, close); };
        return server;
    }

    /// @param address which address of the instance: `callers` or `probes`.
    auto recordLimit(std::string_view address, std::string_view limit) -> void
    {
        callerLimits.count(limit);
        log.record(LogLevel::Info, "caller_limit_reached", { { "address", address }, { "limit", limit }, { "held_bytes", requestBudget->heldBytes() }, { "held_head_bytes", requestBudget->heldHeadBytes() } });
    }

    auto startLoadExchange(const HttpEndpoint& endpoint) -> void
    {
        LoadExchangeCallbacks callbacks {
            .ownUsage = [this] { return services.usage(); },
            .onMessage = [this](const std::string& instance) {
                if (directory)
                    directory->handlePeerMessage(instance); },
            .onPresence = [this](const PeerPresence& presence, const QuotaExchange::Endpoint& sender) { quotas->handlePresence(presence, sender); },
            .onQuotaMessage = [this](std::string_view text, const QuotaExchange::Endpoint& sender) { quotas->handleDatagram(text, sender); },
            .limitReports = [this] { return services.limitReports(); },
            .onLimitReports = [this](const std::vector<LimitReport>& reports) { services.handleLimitReports(reports); },
            .speedReports = [this] { return services.speedReports(); },
            .onSpeedReports = [this](const std::string& instance, const std::vector<SpeedReport>& reports) { services.handleSpeedReports(instance, reports); },
            .onPeerUsage = [this](const std::vector<BackendUsage>& usages) { services.updatePeerUsage(usages); },
            .backendsChangingRole = [this] { return roleBalancer ? roleBalancer->backendsChangingRole() : std::vector<std::string>(); },
            .onRevision = [this](const std::string& kind, std::int64_t revision) {
                if (context.streamVersions)
                    context.streamVersions->handlePeerRevision(kind, kind == adapter.directory.backendKind, revision);
                if (directory)
                    directory->handlePeerRevision(kind, revision); },
            .onCrashSignature = [this](std::uint64_t signature) { services.handleCrashSignature(signature); },
            .onCrashSuspect = [this](const CrashSuspect& suspect) { services.handleCrashSuspect(suspect); },
            .onPromptReport = [this](const PromptReport& report) { services.handlePromptReport(report); },
            .onBackendsChangingRole = [this](const std::vector<std::string>& backends) { excludeChangingBackends(backends); },
            .onReply = [this](const PeerReply& reply) {
                const auto servers = reply.revisions.find(adapter.directory.backendKind);
                if (context.streamVersions)
                    context.streamVersions->handleReply(reply.question.number, reply.instance, servers == reply.revisions.end() ? 0 : servers->second); },
            .onDirectoryUpdate = [this](const DirectoryUpdate& update) {
                if (directory)
                    directory->handleDirectoryUpdate(update); },
        };
        QuotaExchangeSettings quotaSettings { settings.instance, settings.availabilityZone, context.runId, settings.quota, adapter.limits.unlistedPeers };
        quotas = std::make_shared<QuotaExchange>(threads, std::move(quotaSettings), log, [this](const QuotaExchange::Endpoint& target, const std::string& text) { loadExchange->sendTo(target, text); });
        context.quotas = quotas;
        LoadExchangeSettings exchangeSettings { endpoint, settings.instance, context.runId, settings.availabilityZone, adapter.limits.unlistedPeers };
        loadExchange = std::make_shared<LoadExchange>(threads, std::move(exchangeSettings), log, std::move(callbacks));
        context.reportCrashSignature = [this](std::uint64_t signature) { loadExchange->reportCrashSignature(signature); };
        context.reportPrompt = [this](const PromptReport& report) { loadExchange->reportPrompt(report); };
        context.reportCrashSuspect = [this](const CrashSuspect& suspect) { loadExchange->reportCrashSuspect(suspect); };
        loadExchange->start();
    }

    auto startBlockedPartsWriter() -> void
    {
        BlockedPartsCallbacks callbacks {
            .written = [this](std::int64_t revision) {
                directory->handlePeerRevision(adapter.directory.blockedPartsKind, revision);
                if (loadExchange)
                    loadExchange->advanceRevision(adapter.directory.blockedPartsKind, revision); },
            .trialAllowed = [this](const std::string& service, std::uint64_t part) { services.allowTrial(service, part); },
        };
        blockedPartsWriter = std::make_shared<BlockedPartsWriter>(threads, *adapter.store, adapter.directory.blockedPartsKind, log, std::move(callbacks));
        context.updateBlockedPart = [this](const std::string& service, const UpdateBlockedPart& change) { blockedPartsWriter->update(service, change); };
    }

    auto startStreamVersions() -> void
    {
        const auto& kind = adapter.directory.streamVersionsKind;
        if (kind.empty())
            return;
        StreamVersionsCallbacks callbacks {
            .written = [this, kind](std::int64_t revision) {
                if (loadExchange)
                    loadExchange->advanceRevision(kind, revision); },
            .isFirst = [this] { return !loadExchange || loadExchange->hasLowestName(); },
            .askPeers = [this](std::uint64_t number) {
                if (loadExchange)
                    loadExchange->askPeers(number); },
        };
        context.streamVersions = std::make_shared<StreamVersions>(threads, *adapter.store, kind, settings.instance, log, std::move(callbacks));
        context.streamVersions->start();
    }

    auto updateListedVersions() -> void
    {
        if (!listedConfiguration || !context.streamVersions)
            return;
        context.streamVersions->updateLifetimes(streamLifetimes(*listedConfiguration));
        context.streamVersions->updateListed(listedVersions(*listedConfiguration, listedServers));
    }

    auto startRoleBalancer() -> void
    {
        RoleBalancerSettings balancerSettings { .leaseKind = adapter.directory.leaseKind, .minOrderInterval = settings.minOrderInterval };
        RoleBalancerCallbacks callbacks {
            .modelServices = [this] { return services.modelServices(); },
            .isCandidate = [this] { return loadExchange && loadExchange->hasLowestName(); },
        };
        roleBalancer = std::make_shared<RoleBalancer>(context, *adapter.store, std::move(balancerSettings), std::move(callbacks));
        roleBalancer->start();
    }

    auto excludeChangingBackends(const std::vector<std::string>& backends) -> void
    {
        const auto until = monotonicNow() + roleChangeTtl;
        for (const auto& service : services.modelServices()) {
            for (const auto& backend : backends)
                service->recordRoleChange(backend, until);
        }
    }

    auto isReady() const -> bool { return !context.isDraining && context.hasBackendList && services.configurationIndex() && (!context.streamVersions || context.streamVersions->isReady()); }

    auto handleReadiness(HttpExchange& exchange) -> asio::awaitable<void>
    {
        const auto isReadyNow = isReady();
        if (isReadyNow != wasReady) {
            wasReady = isReadyNow;
            log.record(LogLevel::Info, isReadyNow ? "ready" : "not_ready", { { "draining", context.isDraining.load() }, { "configuration", services.configurationIndex() != nullptr }, { "backends", context.hasBackendList.load() } });
        }
        auto response = jsonResponse(isReadyNow ? 200 : 503, isReadyNow ? R"({"status":"ready"})" : R"({"status":"not_ready"})");
        co_await exchange.respond(std::move(response));
    }

    auto handleMetrics(HttpExchange& exchange) -> asio::awaitable<void>
    {
        // The directory runs on the first thread, and this exchange may run on another.
        auto readSummary = [this]() -> asio::awaitable<std::pair<StoreDirectory::Summary, QuotaExchange::Counts>> { co_return std::pair(directory->summary(), quotas ? quotas->counts() : QuotaExchange::Counts {}); };
        const auto [summary, quotaCounts] = co_await asio::co_spawn(threads.context(0), readSummary, asio::use_awaitable);
        const auto storeUnavailableSeconds = std::chrono::duration<double>(listAge(context)).count();
        double reservedMemoryBlocks = 0;
        for (const auto& usage : services.usage())
            reservedMemoryBlocks += usage.memoryBlocks;
        std::vector<Metrics::Sample> samples;
        // Collectors may keep only the beginning of the page. The sum of the retries over all instances has a limit.
        services.addRetrySamples(samples);
        const Metrics::Sample own[] = {
            { "jayhold_ready", "Whether the instance tells the balancer that it is ready.", isReady() ? 1.0 : 0.0 },
            { "jayhold_configuration_version", "Version of the configuration in force.", static_cast<double>(summary.configurationVersion) },
            { "jayhold_backends", "Backend servers that are live or leaving.", static_cast<double>(summary.backends) },
            { "jayhold_instances", "Live entry instances by their records and messages; 0 until they have been counted.", static_cast<double>(summary.instances) },
            { "jayhold_store_away_seconds", "Time for which the store has failed; 0 while it answers.", storeUnavailableSeconds },
            { "jayhold_store_history", "History of the store; each restore from an older copy increases it. 0 if the store names none.", static_cast<double>(summary.storeHistory) },
            { "jayhold_backends_said_leaving_total", "Processes of backend servers that have said in an answer that they are leaving.", static_cast<double>(summary.leavingByAnswer), true },
            { "jayhold_memory_pieces_reserved", "Engine memory that this instance has reserved, in pieces.", reservedMemoryBlocks },
            { "jayhold_loop_stalls_total", "How often an I/O thread ran no handler for more than 250 ms.", static_cast<double>(loopMonitor.stalls()), true },
            { "jayhold_loop_stalled_seconds_total", "The sum of these times.", std::chrono::duration<double>(loopMonitor.stalledTime()).count(), true },
            { "jayhold_request_bytes_held", "Bytes held of request bodies that are larger than 32 KB.", static_cast<double>(requestBudget->heldBytes()) },
            { "jayhold_request_head_bytes_held", "Bytes held of callers' connections and the heads of their requests.", static_cast<double>(requestBudget->heldHeadBytes()) },
            { "jayhold_requests_without_room_total", "Requests that were refused because the bytes held of all requests had reached their limit.", static_cast<double>(requestBudget->refusals()), true },
            { "jayhold_response_bytes_held", "Bytes held of responses of backend servers and the store that are larger than 32 KB.", static_cast<double>(httpSettings.responseBudget->heldBytes()) },
            { "jayhold_responses_over_budget_total", "Responses that were ended because the bytes held of all responses reached their limit.", static_cast<double>(httpSettings.responseBudget->endedResponses()), true },
            { "jayhold_unlisted_peers_ignored_total", "Messages from senders that the list of instances does not show, beyond the limit of such senders.", static_cast<double>(loadExchange ? loadExchange->ignoredPeers() : 0), true },
            { "jayhold_log_lines_left_out_total", "Log lines left out for their rate or because the output was not read.", static_cast<double>(log.droppedLines() + droppedLogLines()), true },
        };
        samples.insert(samples.end(), std::begin(own), std::end(own));
        addQuotas(quotaCounts, samples);
        callerLimits.addSamples(samples, "jayhold_caller_limits_reached_total", "Requests refused, and pauses in accepting connections, because of a limit.");
        responseLimits.addSamples(samples, "jayhold_response_limits_reached_total", "Responses of backend servers and the store that were ended because of a limit.");
        addStoreCalls(adapter.store->counts(), samples);
        if (context.streamVersions)
            addStreamVersions(context.streamVersions->counts(), samples);
        services.addSamples(samples);
        HttpResponse response { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, context.metrics.print(context.openRequests, samples) };
        co_await exchange.respond(std::move(response));
    }

    /// Writes the queued log lines as soon as the output accepts them.
    auto flushLogPeriodically() -> asio::awaitable<void>
    {
        while (true) {
            co_await pause(logFlushInterval);
            flushLog();
        }
    }

    auto startDraining() -> void
    {
        if (context.isDraining.exchange(true))
            return;
        log.record(LogLevel::Info, "draining", { { "open_requests", context.openRequests.load() }, { "grace_ms", settings.drainTimeout.count() } });
        asio::co_spawn(threads.context(0), drain(), logTaskFailure(log, "drain"));
    }

    /// Serves requests during the deregistration delay, because the load balancer sends new connections
    /// until its probes fail and callers reuse their connections until a response closes them.
    auto drain() -> asio::awaitable<void>
    {
        const auto times = drainTimes(monotonicNow(), settings.drainTimeout - settings.drainTimeout / drainReserveDivisor);
        context.requestsEndAt = times.requestsEndAt.time_since_epoch().count();
        if (loadExchange) {
            quotas->startDraining();
            loadExchange->announceDraining();
        }
        services.startDraining({ .endsAt = times.requestsEndAt, .refusesNewRequests = false });
        callerServer->closeAfterResponses();
        co_await pause(std::min<Duration>(settings.deregistrationDelay, times.requestsEndAt - monotonicNow()));
        // Requests accepted later might not finish in time. Callers can resend a request that was not
        // read.
        callerServer->stopAccepting();
        callerServer->closeIdleConnections();
        co_await awaitExchanges(*callerServer, times.exchangesEndAt);
        callerServer->endOpenExchanges();
        co_await awaitExchanges(*callerServer, times.exitAt);
        const auto remaining = callerServer->activeExchanges();
        const auto ended = callerServer->endedExchanges();
        const auto isComplete = remaining == 0 && ended == 0;
        log.record(LogLevel::Info, "drained", { { "complete", isComplete }, { "open_requests", remaining }, { "ended_requests", ended } });
        drainedAt = monotonicNow();
        onDrainedCallback(isComplete);
    }

    const EntrySettings settings;
    PlatformAdapter adapter;
    EventLog log;
    ReachedLimits responseLimits;
    const HttpClientSettings httpSettings;
    const std::shared_ptr<RequestBudget> requestBudget;
    ReachedLimits callerLimits;
    IoThreads threads;
    const LoopMonitor loopMonitor { threads, [this](const LoopStall& stall) { log.record(LogLevel::Warning, "loop_stalled", describe(stall)); } };
    EntryContext context;
    DisabledAtMostOnceRecords records;
    ServiceTable services;
    ForwardApi api;
    std::shared_ptr<LoadExchange> loadExchange;
    /// Exists if there is a load exchange.
    std::shared_ptr<QuotaExchange> quotas;
    std::shared_ptr<StoreDirectory> directory;
    std::shared_ptr<BlockedPartsWriter> blockedPartsWriter;
    std::shared_ptr<RoleBalancer> roleBalancer;
    /// The last configuration and list of backend servers, used on the first I/O thread.
    std::shared_ptr<const Configuration> listedConfiguration;
    std::vector<BackendServer> listedServers;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> metricsServer;
    std::function<void(bool)> onDrainedCallback = [](bool) {};
    /// Written by the I/O thread of the drain, and read after that thread has ended.
    std::optional<TimePoint> drainedAt;
    bool wasReady = false;
};

RouterDaemon::RouterDaemon(EntrySettings settings, PlatformAdapter adapter)
    : m_state(std::make_unique<State>(std::move(settings), std::move(adapter)))
{
    m_state->start();
    m_state->log.record(LogLevel::Info, "listening", { { "address", toString(endpoint()) }, { "ready_address", toString(readinessEndpoint()) }, { "zone", m_state->settings.availabilityZone } });
}

RouterDaemon::~RouterDaemon() = default;

auto RouterDaemon::endpoint() const -> HttpEndpoint
{
    return m_state->callerServer->endpoint();
}

auto RouterDaemon::readinessEndpoint() const -> HttpEndpoint
{
    return m_state->readinessServer->endpoint();
}

auto RouterDaemon::log() -> EventLog&
{
    return m_state->log;
}

auto RouterDaemon::startDraining() -> void
{
    m_state->startDraining();
}

auto RouterDaemon::onDrained(std::function<void(bool)> callback) -> void
{
    m_state->onDrainedCallback = std::move(callback);
}

}
