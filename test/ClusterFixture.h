#pragma once

/// Entry instances for the tests of the cluster library. Each has a peer server on the loopback interface,
/// and all use the same fake platform.

#include "ClusterNode.h"
#include "FakePlatform.h"
#include "HttpTestServer.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <thread>

namespace jayhold {

/// Waits until a condition holds.
/// @return whether it held within the limit.
template <typename Condition>
auto eventually(Condition condition, std::chrono::milliseconds limit = std::chrono::seconds(8)) -> bool
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

struct ClusterInstance {
    ClusterInstance(const std::string& id, const std::string& zone, const HttpEndpoint& platform, std::vector<HttpEndpoint> seeds = {},
        Duration gossipInterval = std::chrono::milliseconds(100))
        : log(id)
        , server(threads, {}, [this](HttpExchange& exchange) -> boost::asio::awaitable<void> {
            if (isFrozen)
                exchange.abort();
            else
                co_await node->handlePeerRequest(exchange);
        })
    {
        ClusterSettings settings;
        settings.instance = id;
        settings.availabilityZone = zone;
        settings.peerEndpoint = server.endpoint();
        settings.platform = { platform };
        settings.seedPeers = std::move(seeds);
        settings.peerKey = "peer-secret";
        settings.gossipInterval = gossipInterval;
        settings.suspectAfter = gossipInterval * 8;
        settings.instanceListInterval = std::chrono::milliseconds(100);
        node = std::make_unique<ClusterNode>(threads, settings, log);
    }

    ~ClusterInstance() { threads.stop(); }
    ClusterInstance(const ClusterInstance&) = delete;
    auto operator=(const ClusterInstance&) -> ClusterInstance& = delete;

    auto begin(const std::string& key, const std::string& attempt, const std::string& digest = "digest") -> RecordDecision
    {
        return runOn(threads, 0, node->beginRecord(threads.client(0), key, digest, attempt));
    }

    auto finish(const std::string& key, const std::string& attempt, const StoredResponse& response) -> bool
    {
        return runOn(threads, 0, node->finishRecord(threads.client(0), key, attempt, response));
    }

    auto apply(const Configuration& next, std::int64_t expected) -> ApplyOutcome
    {
        return runOn(threads, 0, node->applyConfiguration(threads.client(0), next, expected));
    }

    auto version() const -> std::int64_t
    {
        const auto configuration = node->configuration();
        return configuration ? configuration->version : 0;
    }

    IoThreads threads { 2 };
    EventLog log;
    std::atomic<bool> isFrozen { false };
    std::unique_ptr<ClusterNode> node;
    HttpServer server;
};

/// @return one item of the platform's instance list.
inline auto listItem(const std::string& id, const HttpEndpoint& endpoint, const std::string& zone, const std::string& pool, const std::string& state = "live") -> boost::json::value
{
    return boost::json::object { { "id", id }, { "address", toString(endpoint) }, { "availability_zone", zone }, { "pool", pool }, { "state", state } };
}

/// @return a small valid configuration.
inline auto smallConfiguration(std::int64_t version, const std::string& operatorName = "treasurer") -> Configuration
{
    return { .version = version, .operators = { { operatorName, std::string(64, 'a') } }, .availabilityZones = { { "alpine", "big-bend" } } };
}

}
