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

/// Instances of a zone that watch or poll the platform; the second takes over at once when the
/// first fails.
constexpr std::size_t watchersPerZone = 2;
constexpr auto watchTime = std::chrono::seconds(10);
constexpr auto shortestRetry = std::chrono::milliseconds(200);
constexpr auto fetchTime = std::chrono::seconds(2);

auto isChosen(const ClusterCore& core, std::string_view task) -> bool
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

auto adoptList(ClusterCore& core, InstanceList list) -> void
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
    const auto answer = co_await core->threads.client(0).request(std::move(peer), std::move(request), fetchTime);
    if (core->isStopped || answer.has_error() || answer->status != statusOk)
        co_return std::nullopt;
    co_return parseBody(answer->body);
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
        adoptList(*core, std::move(*list));
}

/// @return the pause before the next watch.
auto watchOnce(ClusterPointer core, std::int64_t& revision) -> asio::awaitable<Duration>
{
    const auto object = co_await core->store.watch(core->threads.client(0), std::string(configurationObject), revision, watchTime);
    if (core->isStopped)
        co_return shortestRetry;
    if (object.has_error())
        co_return std::max<Duration>(shortestRetry, object.error().retryAfter);
    if (!*object)
        co_return shortestRetry;
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
    const auto adopted = std::make_shared<const Configuration>(std::move(configuration));
    {
        const std::lock_guard guard(core.lock);
        if (!acceptIfNewer(core.configurationCopy, adopted->version))
            return;
        core.configuration = adopted;
        setSelf(core.membership, adopted->version, core.isDraining);
    }
    core.log.record(LogLevel::Info, "configuration_active", { { "version", adopted->version } });
    if (core.callbacks.configuration)
        core.callbacks.configuration(adopted);
}

auto publishBackends(ClusterCore& core) -> void
{
    std::vector<BackendServer> next;
    {
        const std::lock_guard guard(core.lock);
        const auto now = monotonicNow();
        next = core.list.backends;
        for (auto& backend : next) {
            const auto report = core.leavingUntil.find(backend.id);
            if (report != core.leavingUntil.end() && now < report->second)
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
    auto wantsConfiguration = false;
    auto wantsList = false;
    {
        const std::lock_guard guard(core->lock);
        const auto now = monotonicNow();
        wantsConfiguration = shouldFetch(core->configurationCopy, now, configurationVersion, fetchTime);
        wantsList = shouldFetch(core->listCopy, now, listVersion, fetchTime);
    }
    if (wantsConfiguration)
        spawnOnFirstThread(core, fetchConfiguration(core, peer));
    if (wantsList)
        spawnOnFirstThread(core, fetchList(core, peer));
}

auto watchConfiguration(ClusterPointer core) -> asio::awaitable<void>
{
    std::int64_t revision = 0;
    while (!core->isStopped) {
        Duration wait = core->settings.gossipInterval;
        if (isChosen(*core, "configuration"))
            wait = co_await watchOnce(core, revision);
        if (wait > Duration::zero())
            co_await pause(wait);
    }
}

auto pollInstances(ClusterPointer core) -> asio::awaitable<void>
{
    while (!core->isStopped) {
        Duration wait = core->settings.instanceListInterval;
        if (isChosen(*core, "instances")) {
            auto list = co_await core->store.instances(core->threads.client(0));
            if (core->isStopped)
                co_return;
            if (list.has_value())
                adoptList(*core, std::move(*list));
            else
                wait = std::max(wait, list.error().retryAfter);
        }
        publishBackends(*core);
        co_await pause(wait);
    }
}

}
