#include "RouterDaemon.h"

#include "DisabledAtMostOnceRecords.h"
#include "ForwardApi.h"
#include "HttpServer.h"
#include "LoadExchange.h"
#include "Pause.h"
#include "RoleBalancer.h"
#include "ServiceTable.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Long enough for a new connection between zones beside loss of a packet, short enough to try
/// another backend server within the target of a first token.
constexpr Duration connectTimeout = std::chrono::milliseconds(400);
/// A silent peer is found within the time in which a leaving backend server must get no more work.
constexpr Duration backendSilenceLimit = std::chrono::seconds(2);
/// Callers are served over links that lose packets; they give up a stream after some seconds.
constexpr Duration callerSilenceLimit = std::chrono::seconds(5);
/// Backend servers name the time after which they close idle connections; this only bounds it.
constexpr Duration backendIdleTimeout = std::chrono::seconds(20);
/// All instances share the connections that a backend server accepts: 450 for 65 instances on the
/// largest site of today.
constexpr std::size_t maxIdleConnectionsPerBackend = 4;
/// The instance that ordered a change of role repeats it in each message until then.
constexpr Duration roleChangeTtl = std::chrono::seconds(2);
constexpr Duration logFlushInterval = std::chrono::milliseconds(200);
constexpr auto drainCheckInterval = std::chrono::milliseconds(20);
/// Part of the time to shut down that is kept for the end of the process itself.
constexpr int drainReserveDivisor = 8;
/// The log lines on standard output are what is read afterwards; the ring serves no timeline here.
constexpr std::size_t eventLogCapacity = 256;

auto clientSettings() -> HttpClientSettings
{
    HttpClientSettings settings;
    settings.connectTimeout = connectTimeout;
    settings.tcpUserTimeout = backendSilenceLimit;
    settings.idleConnectionTimeout = backendIdleTimeout;
    settings.maxIdlePerEndpoint = maxIdleConnectionsPerBackend;
    return settings;
}

auto serverSettings(const HttpEndpoint& endpoint, const CallerLimits& limits) -> HttpServerSettings
{
    HttpServerSettings settings;
    settings.endpoint = endpoint;
    settings.maxHeaderBytes = static_cast<std::size_t>(limits.headerBytes);
    settings.maxBodyBytes = static_cast<std::size_t>(limits.bodyBytes);
    settings.readTimeout = limits.readTimeout;
    settings.idleTimeout = limits.idleTimeout;
    settings.tcpUserTimeout = callerSilenceLimit;
    return settings;
}

/// Sets what the platform's configuration leaves to the router.
auto applyForwardingPolicy(Configuration& configuration) -> void
{
    constexpr double medianLength = 0.5;
    for (auto& service : configuration.services) {
        service.decodeMayPrefill = true;
        service.refuseOverdue = true;
        service.memoryQuantile = medianLength;
    }
}

auto addStoreCalls(const StoreCallCounts& counts, std::vector<Metrics::Sample>& samples) -> void
{
    const std::pair<std::string_view, std::uint64_t> results[] = {
        { "answered", counts.answered },
        { "failed", counts.failed },
        { "given_up", counts.cancelledByCaller },
        { "held_back", counts.suppressedByBackOff },
        { "over_budget", counts.overBudget },
    };
    for (const auto& [result, count] : results)
        samples.push_back({ "jayhold_store_calls_total", "Calls to the store, by result; those held back or over budget were not sent.", static_cast<double>(count), true, "result", std::string(result) });
}

/// Tells the runs of an instance apart; the time of day may jump, so it is not the only part.
auto uniqueRunId() -> std::string
{
    std::random_device random;
    return std::to_string(random()) + "-" + std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
}

}

struct RouterDaemon::State {
    State(EntrySettings entrySettings, PlatformAdapter platformParts)
        : settings(std::move(entrySettings))
        , parts(std::move(platformParts))
        , log(settings.instance, eventLogCapacity)
        , threads(settings.threads, clientSettings())
        , context { .settings = settings, .threads = threads, .log = log, .callers = parts.callers, .backends = parts.backends }
        , services(context, records, [](std::string_view, std::string_view) { return false; })
        , api(context, services)
    {
        log.setMinimumLevel(settings.logLevel);
        context.runId = uniqueRunId();
    }

    ~State()
    {
        // Coroutines end with their I/O thread and use all other parts until then.
        services.stop();
        threads.stop();
    }
    State(const State&) = delete;
    auto operator=(const State&) -> State& = delete;

    auto start() -> void
    {
        const auto& ready = settings.readinessListen.value_or(settings.peerListen);
        const auto& metrics = settings.metricsListen;
        callerServer = std::make_unique<HttpServer>(threads, serverSettings(settings.listen, {}), [this](HttpExchange& exchange) { return api.handle(exchange); });
        readyServer = std::make_unique<HttpServer>(threads, serverSettings(ready, {}), [this](HttpExchange& exchange) { return answerReady(exchange); });
        if (metrics)
            metricsServer = std::make_unique<HttpServer>(threads, serverSettings(*metrics, {}), [this](HttpExchange& exchange) { return answerMetrics(exchange); });
        DirectoryCallbacks callbacks {
            .configuration = [this](Configuration configuration) {
                callerServer->updateLimits(serverSettings(settings.listen, configuration.limits));
                applyForwardingPolicy(configuration);
                context.configurationVersion = configuration.version;
                services.updateConfiguration(std::make_shared<const Configuration>(std::move(configuration))); },
            .backends = [this](std::vector<BackendServer> backends) {
                context.hasBackendList = !backends.empty();
                services.updateBackends(std::move(backends)); },
            .instances = [this](std::uint32_t count, const std::vector<PeerAddress>& peers) {
                services.updateInstanceCount(count);
                if (exchange)
                    exchange->updatePeers(peers); },
            .onStoreAvailability = [this](std::optional<TimePoint> since) { context.storeUnavailableSince = since.value_or(TimePoint {}).time_since_epoch().count(); },
            .changed = [this](const std::string& kind, std::int64_t revision) {
                if (exchange)
                    exchange->advanceRevision(kind, revision); },
        };
        if (settings.loadListen) {
            startExchange(*settings.loadListen);
            callbacks.publishToZone = [this](const DirectoryUpdate& news) { exchange->sendDirectoryUpdate(news); };
        }
        DirectorySettings directorySettings { .instance = settings.instance, .availabilityZone = settings.availabilityZone, .maxPropagationDelay = settings.maxPropagationDelay };
        if (exchange)
            directorySettings.peerEndpoint = exchange->endpoint();
        directory = std::make_shared<StoreDirectory>(threads, *parts.store, parts.directory, std::move(directorySettings), log, std::move(callbacks));
        directory->start();
        spawnSupervised(threads.context(0).get_executor(), log, "flush log", [this] { return flushLogRegularly(); });
        if (parts.backends.orderRole)
            startBalancer();
    }

    auto startExchange(const HttpEndpoint& endpoint) -> void
    {
        LoadExchangeCallbacks callbacks {
            .ownUsage = [this] { return services.usage(); },
            .onPeerUsage = [this](const std::vector<BackendUsage>& uses) { services.updatePeerUsage(uses); },
            .backendsChangingRole = [this] { return balancer ? balancer->backendsChangingRole() : std::vector<std::string>(); },
            .onRevision = [this](const std::string& kind, std::int64_t revision) {
                if (directory)
                    directory->handlePeerRevision(kind, revision); },
            .onSignature = [this](std::uint64_t signature) { services.handleCrashSignature(signature); },
            .onSuspect = [this](const CrashSuspect& suspect) { services.handleCrashSuspect(suspect); },
            .onBackendsChangingRole = [this](const std::vector<std::string>& backends) { excludeChangingBackends(backends); },
            .onDirectoryUpdate = [this](const DirectoryUpdate& news) {
                if (directory)
                    directory->handleDirectoryUpdate(news); },
        };
        LoadExchangeSettings exchangeSettings { endpoint, settings.instance, context.runId, settings.availabilityZone };
        exchange = std::make_shared<LoadExchange>(threads, std::move(exchangeSettings), log, std::move(callbacks));
        context.reportSignature = [this](std::uint64_t signature) { exchange->reportSignature(signature); };
        context.reportSuspect = [this](const CrashSuspect& suspect) { exchange->reportSuspect(suspect); };
        exchange->start();
    }

    auto startBalancer() -> void
    {
        RoleBalancerSettings balancerSettings { .leaseKind = parts.directory.leaseKind, .minOrderInterval = settings.minOrderInterval };
        RoleBalancerCallbacks callbacks {
            .modelServices = [this] { return services.modelServices(); },
            .isCandidate = [this] { return exchange && exchange->hasLowestName(); },
        };
        balancer = std::make_shared<RoleBalancer>(context, *parts.store, std::move(balancerSettings), std::move(callbacks));
        balancer->start();
    }

    auto excludeChangingBackends(const std::vector<std::string>& backends) -> void
    {
        const auto until = monotonicNow() + roleChangeTtl;
        for (const auto& service : services.modelServices()) {
            for (const auto& backend : backends)
                service->recordRoleChange(backend, until);
        }
    }

    auto isReady() const -> bool { return !context.isDraining && context.hasBackendList && services.index(); }

    auto answerReady(HttpExchange& exchange) -> asio::awaitable<void>
    {
        const auto ready = isReady();
        if (ready != wasReady) {
            wasReady = ready;
            log.record(LogLevel::Info, ready ? "ready" : "not_ready", { { "draining", context.isDraining.load() }, { "configuration", services.index() != nullptr }, { "backends", context.hasBackendList.load() } });
        }
        auto response = jsonResponse(ready ? 200 : 503, ready ? R"({"status":"ready"})" : R"({"status":"not_ready"})");
        co_await exchange.respond(std::move(response));
    }

    auto answerMetrics(HttpExchange& exchange) -> asio::awaitable<void>
    {
        // The directory lives on the first thread, and this exchange may live on another.
        auto readSummary = [this]() -> asio::awaitable<StoreDirectory::Summary> { co_return directory->summary(); };
        const auto known = co_await asio::co_spawn(threads.context(0), readSummary, asio::use_awaitable);
        const auto storeAge = std::chrono::duration<double>(listAge(context)).count();
        double memoryBlocks = 0;
        for (const auto& usage : services.usage())
            memoryBlocks += usage.memoryBlocks;
        std::vector<Metrics::Sample> samples {
            { "jayhold_ready", "Whether the instance tells the balancer that it is ready.", isReady() ? 1.0 : 0.0 },
            { "jayhold_configuration_version", "Version of the configuration in force.", static_cast<double>(known.configurationVersion) },
            { "jayhold_backends", "Backend servers that are live or leaving.", static_cast<double>(known.backends) },
            { "jayhold_instances", "Live entry instances, as the store has them.", static_cast<double>(known.instances) },
            { "jayhold_store_away_seconds", "Time for which the store has failed; 0 while it answers.", storeAge },
            { "jayhold_memory_pieces_reserved", "Engine memory that this instance has reserved, in pieces.", memoryBlocks },
            { "jayhold_log_lines_left_out_total", "Log lines left out for their rate or because the output was not read.", static_cast<double>(log.droppedLines() + droppedLogLines()), true },
        };
        addStoreCalls(parts.store->counts(), samples);
        services.addSamples(samples);
        HttpResponse response { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, context.metrics.print(context.openRequests, samples) };
        co_await exchange.respond(std::move(response));
    }

    /// Lines that found no room leave as soon as the output takes them.
    auto flushLogRegularly() -> asio::awaitable<void>
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
        log.record(LogLevel::Info, "draining", { { "open_requests", context.openRequests.load() }, { "grace_ms", settings.drain.count() } });
        asio::co_spawn(threads.context(0), drain(), logTaskFailure(log, "drain"));
    }

    /// The balancer sends new connections until it has noticed, and callers reuse theirs until an
    /// answer asks them to go, so work is served on for that time.
    auto drain() -> asio::awaitable<void>
    {
        const auto begun = monotonicNow();
        callerServer->closeAfterResponses();
        co_await pause(settings.deregistrationDelay);
        // Work taken later could not end in time. Callers whose request was not read send it again.
        callerServer->stopAccepting();
        callerServer->closeIdleConnections();
        const auto latest = begun + settings.drain - settings.drain / drainReserveDivisor;
        while (callerServer->activeExchanges() > 0 && monotonicNow() < latest)
            co_await pause(drainCheckInterval);
        const auto left = callerServer->activeExchanges();
        log.record(LogLevel::Info, "drained", { { "complete", left == 0 }, { "open_requests", left } });
        drained(left == 0);
    }

    const EntrySettings settings;
    PlatformAdapter parts;
    EventLog log;
    IoThreads threads;
    EntryContext context;
    DisabledAtMostOnceRecords records;
    ServiceTable services;
    ForwardApi api;
    std::shared_ptr<LoadExchange> exchange;
    std::shared_ptr<StoreDirectory> directory;
    std::shared_ptr<RoleBalancer> balancer;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<HttpServer> metricsServer;
    std::function<void(bool)> drained = [](bool) {};
    bool wasReady = false;
};

RouterDaemon::RouterDaemon(EntrySettings settings, PlatformAdapter parts)
    : m_state(std::make_unique<State>(std::move(settings), std::move(parts)))
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
    return m_state->readyServer->endpoint();
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
    m_state->drained = std::move(callback);
}

}
