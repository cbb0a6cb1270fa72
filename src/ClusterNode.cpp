#include "ClusterNode.h"

#include "ClusterCore.h"
#include "ClusterDocuments.h"
#include "ClusterGossip.h"
#include "ConfigurationApply.h"
#include "HttpStatus.h"
#include "LeaseManager.h"
#include "MembershipOwners.h"
#include "RecordService.h"
#include "Rendezvous.h"
#include "Sha256.h"
#include "Tasks.h"

#include <boost/json/serialize.hpp>

namespace jayhold {

namespace asio = boost::asio;

namespace {

constexpr std::string_view recordRoutePrefix = "/internal/v1/records/";

auto hasPeerKey(const ClusterCore& core, const HttpRequest& request) -> bool
{
    const auto key = findHeader(request.headers, peerKeyHeader);
    return key && equalDigests(*key, core.settings.peerKey);
}

auto observeTime(ClusterCore& core, const HttpRequest& request) -> void
{
    const auto header = findHeader(request.headers, hybridTimeHeader);
    const auto time = header ? parseHybridTime(*header) : std::nullopt;
    if (time)
        core.log.clock().observe(*time);
}

auto configurationResponse(const ClusterCore& core) -> HttpResponse
{
    std::shared_ptr<const Configuration> configuration;
    {
        const std::lock_guard guard(core.lock);
        configuration = core.configuration;
    }
    if (!configuration)
        return { statusNotFound, {}, {} };
    return jsonResponse(statusOk, boost::json::serialize(toJson(*configuration)));
}

auto instancesResponse(const ClusterCore& core) -> HttpResponse
{
    const std::lock_guard guard(core.lock);
    if (core.listCopy.version == 0)
        return { statusNotFound, {}, {} };
    return jsonResponse(statusOk, boost::json::serialize(toJson(core.list)));
}

}

struct ClusterNode::State {
    State(IoThreads& threads, ClusterSettings settings, EventLog& log)
        : core(std::make_shared<ClusterCore>(threads, std::move(settings), log))
        , records(std::make_shared<RecordService>(core))
    {
    }

    auto route(HttpExchange& exchange) -> asio::awaitable<HttpResponse>
    {
        const auto& request = exchange.request();
        if (request.target == "/internal/v1/gossip" && request.method == "POST")
            co_return handleGossip(core, request.body);
        if (request.target == "/internal/v1/configuration" && request.method == "GET")
            co_return configurationResponse(*core);
        if (request.target == "/internal/v1/instances" && request.method == "GET")
            co_return instancesResponse(*core);
        if (request.target.starts_with(recordRoutePrefix) && request.method == "POST")
            co_return co_await records->handleForwarded(request.target.substr(recordRoutePrefix.size()), request.body);
        co_return HttpResponse { statusNotFound, {}, {} };
    }

    const ClusterPointer core;
    const std::shared_ptr<RecordService> records;
};

ClusterNode::ClusterNode(IoThreads& threads, ClusterSettings settings, EventLog& log)
    : m_state(std::make_shared<State>(threads, std::move(settings), log))
{
}

ClusterNode::~ClusterNode()
{
    m_state->core->isStopped = true;
}

auto ClusterNode::start() -> void
{
    const auto& core = m_state->core;
    {
        const std::lock_guard guard(core->lock);
        std::vector<Contact> seeds;
        for (const auto& endpoint : core->settings.seedPeers)
            seeds.push_back({ .id = {}, .endpoint = endpoint, .availabilityZone = {} });
        setContacts(core->membership, std::move(seeds));
    }
    const auto executor = core->threads.context(0).get_executor();
    spawnSupervised(executor, core->log, "gossip", [core] { return runGossip(core); });
    spawnSupervised(executor, core->log, "watch configuration", [core] { return watchConfiguration(core); });
    spawnSupervised(executor, core->log, "poll instances", [core] { return pollInstances(core); });
}

auto ClusterNode::onConfiguration(std::function<void(std::shared_ptr<const Configuration>)> callback) -> void
{
    m_state->core->callbacks.configuration = std::move(callback);
}

auto ClusterNode::onBackends(std::function<void(const std::vector<BackendServer>&)> callback) -> void
{
    m_state->core->callbacks.backends = std::move(callback);
}

auto ClusterNode::onCrashSignature(std::function<void(std::uint64_t)> callback) -> void
{
    m_state->core->callbacks.signature = std::move(callback);
}

auto ClusterNode::onCrashSuspect(std::function<void(const CrashSuspect&)> callback) -> void
{
    m_state->core->callbacks.suspect = std::move(callback);
}

auto ClusterNode::onPromptReport(std::function<void(const PromptReport&)> callback) -> void
{
    m_state->core->callbacks.promptReport = std::move(callback);
}

auto ClusterNode::onMemberLost(std::function<void(const Member&)> callback) -> void
{
    m_state->core->callbacks.memberLost = std::move(callback);
}

auto ClusterNode::configuration() const -> std::shared_ptr<const Configuration>
{
    const std::lock_guard guard(m_state->core->lock);
    return m_state->core->configuration;
}

auto ClusterNode::members() const -> std::vector<Member>
{
    const std::lock_guard guard(m_state->core->lock);
    return liveMembers(m_state->core->membership);
}

auto ClusterNode::backends() const -> std::vector<BackendServer>
{
    const std::lock_guard guard(m_state->core->lock);
    return m_state->core->backends;
}

auto ClusterNode::ownerOf(std::string_view name) const -> std::string
{
    const std::lock_guard guard(m_state->core->lock);
    return rendezvousOwner(name, ownerCandidates(m_state->core->membership));
}

auto ClusterNode::handlePeerRequest(HttpExchange& exchange) -> asio::awaitable<bool>
{
    const auto state = m_state;
    if (!exchange.request().target.starts_with(peerRoutePrefix))
        co_return false;
    if (!hasPeerKey(*state->core, exchange.request())) {
        co_await exchange.respond(jsonResponse(statusForbidden, R"({"error":{"type":"forbidden"}})"));
        co_return true;
    }
    observeTime(*state->core, exchange.request());
    auto response = co_await state->route(exchange);
    co_await exchange.respond(std::move(response));
    co_return true;
}

auto ClusterNode::beginRecord(HttpClient& client, std::string key, std::string requestDigest, std::string attemptId) -> asio::awaitable<RecordDecision>
{
    const auto records = m_state->records;
    co_return co_await records->begin(client, std::move(key), std::move(requestDigest), std::move(attemptId));
}

auto ClusterNode::finishRecord(HttpClient& client, std::string key, std::string attemptId, StoredResponse response) -> asio::awaitable<bool>
{
    const auto records = m_state->records;
    co_return co_await records->finish(client, std::move(key), std::move(attemptId), std::move(response));
}

auto ClusterNode::abandonRecord(HttpClient& client, std::string key, std::string attemptId) -> asio::awaitable<bool>
{
    const auto records = m_state->records;
    co_return co_await records->abandon(client, std::move(key), std::move(attemptId));
}

auto ClusterNode::applyConfiguration(HttpClient& client, Configuration next, std::int64_t expectedVersion) -> asio::awaitable<ApplyOutcome>
{
    const auto core = m_state->core;
    co_return co_await applyConfigurationChange(core, client, std::move(next), expectedVersion);
}

auto ClusterNode::manageLease(std::string name, Duration leaseTime) -> std::shared_ptr<LeaseManager>
{
    const auto core = m_state->core;
    const auto object = "leases/" + name;
    LeaseEnvironment port {
        .executor = core->threads.context(0).get_executor(),
        .read = [core, object] { return core->store.read(core->threads.client(0), object); },
        .update = [core, object](boost::json::value value, std::int64_t revision) { return core->store.update(core->threads.client(0), object, std::move(value), revision); },
        .now = bootTimeNow,
        .isStopped = [core] { return core->isStopped.load(); },
        .log = core->log,
    };
    std::string holder;
    {
        const std::lock_guard guard(core->lock);
        holder = holderName(core->membership);
    }
    auto keeper = std::make_shared<LeaseManager>(std::move(port), leaseSettings(std::move(name), std::move(holder), leaseTime));
    keeper->start();
    return keeper;
}

auto ClusterNode::reportCrashSignature(std::uint64_t signature) -> void
{
    spreadSignature(m_state->core, signature);
}

auto ClusterNode::reportCrashSuspect(const CrashSuspect& suspect) -> void
{
    spreadSuspect(m_state->core, suspect);
}

auto ClusterNode::reportPrompt(const PromptReport& report) -> void
{
    spreadPromptReport(m_state->core, report);
}

auto ClusterNode::reportLeaving(std::string_view backendId) -> void
{
    spreadLeaving(m_state->core, std::string(backendId));
}

auto ClusterNode::startDraining() -> void
{
    const std::lock_guard guard(m_state->core->lock);
    m_state->core->isDraining = true;
    setSelf(m_state->core->membership, m_state->core->configurationCopy.version, true);
}

}
