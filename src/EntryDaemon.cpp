#include "EntryDaemon.h"

#include "ConnectionLog.h"
#include "EntryDaemonState.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>

namespace jayhold {

namespace asio = boost::asio;

namespace {

auto nextRunId() -> std::string
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

auto serverSettings(const HttpEndpoint& endpoint, const EntrySettings& settings) -> HttpServerSettings
{
    HttpServerSettings server;
    server.endpoint = endpoint;
    server.maxBodyBytes = settings.limits.bodyBytes;
    return server;
}

auto clusterSettings(const EntrySettings& settings, const HttpEndpoint& bound) -> ClusterSettings
{
    ClusterSettings cluster;
    cluster.instance = settings.instance;
    cluster.availabilityZone = settings.availabilityZone;
    cluster.peerEndpoint = settings.peerAdvertise.value_or(bound);
    cluster.platform = settings.platform;
    cluster.seedPeers = settings.seedPeers;
    cluster.peerKey = settings.peerKey;
    cluster.seed = settings.seed;
    return cluster;
}

}

EntryDaemon::State::State(EntrySettings entrySettings)
    : settings(std::move(entrySettings))
    , log(settings.instance)
    , threads(std::make_unique<IoThreads>(settings.threads))
    , context { settings, *threads, log }
{
    context.runId = nextRunId();
}

auto EntryDaemon::State::bind() -> void
{
    // The cluster node needs the bound peer address, so the servers are created first. They respond 503
    // until all components exist.
    const auto serve = [this](auto api) {
        return [this, api](HttpExchange& exchange) -> asio::awaitable<void> {
            if (isInitialized)
                co_await (this->*api)->handle(exchange);
            else
                co_await exchange.respond(toResponse(ApiError(503, "starting", "the instance is starting")));
        };
    };
    auto peerSettings = serverSettings(settings.peerListen, settings);
    peerSettings.onConnectionClosed = [this](const ConnectionClose& close) { logConnectionClose(context, close); };
    peerServer = std::make_unique<HttpServer>(*threads, peerSettings, serve(&State::adminApi));
    auto callerSettings = serverSettings(settings.listen, settings);
    callerSettings.onConnectionClosed = [this](const ConnectionClose& close) { recordCallerClose(context, close); };
    callerServer = std::make_unique<HttpServer>(*threads, callerSettings, serve(&State::callerApi));
}

auto EntryDaemon::State::createComponents() -> void
{
    node = std::make_unique<ClusterNode>(*threads, clusterSettings(settings, peerServer->endpoint()), log);
    records = std::make_unique<ClusterRecords>(*node);
    services = std::make_unique<ServiceTable>(context, *records, [this](std::string_view owner, std::string_view backend) { return shouldReclaimFor(owner, backend); });
    callerApi = std::make_unique<CallerApi>(context, *services);
    adminApi = std::make_unique<AdminApi>(context, *services, *node, [this] { startDraining(); });
    context.reportCrashSignature = [this](std::uint64_t signature) { node->reportCrashSignature(signature); };
    context.handleNotice = [this](const BackendServer& server, TimePoint sentAt, const BackendNotice& notice) { services->handleNotice(server, sentAt, notice); };
    context.reportPrompt = [this](const PromptReport& report) { node->reportPrompt(report); };
    context.reportCrashSuspect = [this](const CrashSuspect& suspect) { node->reportCrashSuspect(suspect); };
    context.reportLeaving = [this](std::string_view backend) { node->reportLeaving(backend); };
    node->onConfiguration([this](std::shared_ptr<const Configuration> configuration) {
        log.record(LogLevel::Info, "configuration_in_force", { { "version", configuration->version } });
        context.configurationVersion = configuration->version;
        services->updateConfiguration(std::move(configuration));
    });
    node->onBackends([this](const std::vector<BackendServer>& backends) {
        services->updateBackends(backends);
        context.hasBackendList = !backends.empty();
    });
    node->onCrashSignature([this](std::uint64_t signature) { services->handleCrashSignature(signature); });
    node->onPromptReport([this](const PromptReport& report) { services->handlePromptReport(report); });
    node->onCrashSuspect([this](const CrashSuspect& suspect) { services->handleCrashSuspect(suspect); });
    node->onMemberLost([this](const Member& member) {
        log.record(LogLevel::Info, "member_lost", { { "member", member.id } });
        lostOwners.markLost(member.id);
    });
    isInitialized = true;
    node->start();
    spawnSupervised(threads->context(0).get_executor(), log, "watch members", [this] { return watchMembers(); });
}

EntryDaemon::State::~State()
{
    // Coroutines use all other components until their I/O thread has ended.
    if (services)
        services->stop();
    threads->stop();
    callerServer.reset();
    peerServer.reset();
    services.reset();
    node.reset();
    threads.reset();
}

EntryDaemon::EntryDaemon(EntrySettings settings)
    : m_state(std::make_unique<State>(std::move(settings)))
{
    m_state->bind();
    m_state->createComponents();
    m_state->log.record(LogLevel::Info, "listening", { { "address", toString(endpoint()) }, { "peer_address", toString(peerEndpoint()) } });
}

EntryDaemon::~EntryDaemon() = default;

auto EntryDaemon::endpoint() const -> HttpEndpoint
{
    return m_state->callerServer->endpoint();
}

auto EntryDaemon::peerEndpoint() const -> HttpEndpoint
{
    return m_state->peerServer->endpoint();
}

auto EntryDaemon::log() -> EventLog&
{
    return m_state->log;
}

auto EntryDaemon::startDraining() -> void
{
    m_state->startDraining();
}

auto EntryDaemon::onDrained(std::function<void(bool)> callback) -> void
{
    m_state->onDrainedCallback = std::move(callback);
}

}
