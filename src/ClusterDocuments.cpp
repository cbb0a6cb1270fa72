#include "ClusterDocuments.h"

#include "HttpStatus.h"
#include "MembershipOwners.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace jayhold {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Instances of a zone that watch or poll the platform. If one fails, the other continues without a
/// delay.
constexpr std::size_t watchersPerZone = 2;
constexpr auto watchTimeout = std::chrono::seconds(10);
constexpr auto minRetryDelay = std::chrono::milliseconds(200);
constexpr auto fetchTimeout = std::chrono::seconds(2);

auto isZoneWatcher(const ClusterCore& core, std::string_view task) -> bool
{
    const std::lock_guard guard(core.lock);
    return isChosenInZone(core.membership, task, watchersPerZone);
}

auto contactsOf(const ClusterCore& core) -> std::vector<Contact>
{
    std::vector<Contact> contacts;
    for (const auto& endpoint : core.settings.seedPeers)
        contacts.push_back({ .id = {}, .endpoint = endpoint, .availabilityZone = {} });
    for (const auto& entry : core.list.entries)
        contacts.push_back({ .id = entry.id, .endpoint = entry.peerEndpoint, .availabilityZone = entry.availabilityZone });
    return contacts;
}

auto updateInstanceList(ClusterCore& core, InstanceList list) -> void
{
    {
        const std::lock_guard guard(core.lock);
        if (!acceptIfNewer(core.listCopy, list.version))
            return;
        core.list = std::move(list);
        setContacts(core.membership, contactsOf(core));
    }
    publishBackends(core);
}

auto parseBody(const std::string& body) -> std::optional<json::value>
{
    boost::system::error_code code;
    auto value = json::parse(body, code);
    return code ? std::nullopt : std::optional(std::move(value));
}

auto fetch(ClusterPointer core, HttpEndpoint peer, std::string target) -> asio::awaitable<std::optional<json::value>>
{
    auto request = peerRequest(*core, "GET", std::move(target), {});
    const auto response = co_await core->threads.client(0).request(std::move(peer), std::move(request), fetchTimeout);
    if (core->isStopped || response.has_error() || response->status != statusOk)
        co_return std::nullopt;
    co_return parseBody(response->body);
}

auto fetchConfiguration(ClusterPointer core, HttpEndpoint peer) -> asio::awaitable<void>
{
    const auto document = co_await fetch(core, std::move(peer), "/internal/v1/configuration");
    {
        const std::lock_guard guard(core->lock);
        fetchEnded(core->configurationCopy);
    }
    if (!document)
        co_return;
    if (auto configuration = readConfiguration(*document))
        activateConfiguration(*core, std::move(*configuration));
}

auto fetchList(ClusterPointer core, HttpEndpoint peer) -> asio::awaitable<void>
{
    const auto document = co_await fetch(core, std::move(peer), "/internal/v1/instances");
    {
        const std::lock_guard guard(core->lock);
        fetchEnded(core->listCopy);
    }
    if (!document)
        co_return;
    if (auto list = instanceListFromJson(*document))
        updateInstanceList(*core, std::move(*list));
}

/// @return the delay before the next watch.
auto watchOnce(ClusterPointer core, std::int64_t& revision) -> asio::awaitable<Duration>
{
    const auto object = co_await core->store.watch(core->threads.client(0), std::string(configurationObject), revision, watchTimeout);
    if (core->isStopped)
        co_return minRetryDelay;
    if (object.has_error())
        co_return std::max<Duration>(minRetryDelay, object.error().retryAfter);
    if (!*object)
        co_return minRetryDelay;
    revision = (*object)->revision;
    auto configuration = readConfiguration((*object)->value);
    if (configuration)
        activateConfiguration(*core, std::move(*configuration));
    else
        core->log.record(LogLevel::Error, "configuration_unreadable", { { "revision", revision } });
    co_return Duration::zero();
}

}

auto readConfiguration(const json::value& value) -> std::optional<Configuration>
{
    const auto* object = value.if_object();
    const auto* nested = object ? object->if_contains("configuration") : nullptr;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Configuration>> {
            BOOST_LEAF_AUTO(configuration, configurationFromJson(nested ? *nested : value));
            return configuration;
        },
        []() -> std::optional<Configuration> { return std::nullopt; });
}

auto activateConfiguration(ClusterCore& core, Configuration configuration) -> void
{
    const auto activated = std::make_shared<const Configuration>(std::move(configuration));
    {
        const std::lock_guard guard(core.lock);
        if (!acceptIfNewer(core.configurationCopy, activated->version))
            return;
        core.configuration = activated;
        setSelf(core.membership, activated->version, core.isDraining);
    }
    core.log.record(LogLevel::Info, "configuration_active", { { "version", activated->version } });
    if (core.callbacks.configuration)
        core.callbacks.configuration(activated);
}

auto publishBackends(ClusterCore& core) -> void
{
    std::vector<BackendServer> next;
    {
        const std::lock_guard guard(core.lock);
        const auto now = monotonicNow();
        next = core.list.backends;
        for (auto& backend : next) {
            const auto leaving = core.leavingUntil.find(backend.id);
            if (leaving != core.leavingUntil.end() && now < leaving->second)
                backend.state = ReplicaState::Leaving;
        }
        if (next == core.backends)
            return;
        core.backends = next;
    }
    if (core.callbacks.backends)
        core.callbacks.backends(next);
}

auto fetchNewerVersions(const ClusterPointer& core, const HttpEndpoint& peer, std::int64_t configurationVersion, std::int64_t listVersion) -> void
{
    auto fetchesConfiguration = false;
    auto fetchesList = false;
    {
        const std::lock_guard guard(core->lock);
        const auto now = monotonicNow();
        fetchesConfiguration = shouldFetch(core->configurationCopy, now, configurationVersion, fetchTimeout);
        fetchesList = shouldFetch(core->listCopy, now, listVersion, fetchTimeout);
    }
    if (fetchesConfiguration)
        spawnOnFirstThread(core, fetchConfiguration(core, peer));
    if (fetchesList)
        spawnOnFirstThread(core, fetchList(core, peer));
}

auto watchConfiguration(ClusterPointer core) -> asio::awaitable<void>
{
    std::int64_t revision = 0;
    while (!core->isStopped) {
        Duration wait = core->settings.gossipInterval;
        if (isZoneWatcher(*core, "configuration"))
            wait = co_await watchOnce(core, revision);
        if (wait > Duration::zero())
            co_await pause(wait);
    }
}

auto pollInstances(ClusterPointer core) -> asio::awaitable<void>
{
    while (!core->isStopped) {
        Duration wait = core->settings.instanceListInterval;
        if (isZoneWatcher(*core, "instances")) {
            auto list = co_await core->store.instances(core->threads.client(0));
            if (core->isStopped)
                co_return;
            if (list.has_value())
                updateInstanceList(*core, std::move(*list));
            else
                wait = std::max(wait, list.error().retryAfter);
        }
        publishBackends(*core);
        co_await pause(wait);
    }
}

}
