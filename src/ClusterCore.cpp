#include "ClusterCore.h"

#include "AwaitToken.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Start of 2025 in Unix time. Incarnations are counted from there to keep them short, because every
/// gossip message carries several of them.
constexpr std::int64_t incarnationEpochSeconds = 1'735'689'600;

auto initialIncarnation() -> std::int64_t
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::seconds>(wall).count() - incarnationEpochSeconds);
}

auto membershipSettings(const ClusterSettings& settings) -> MembershipSettings
{
    MembershipSettings result;
    result.self = { .id = settings.instance, .peerEndpoint = settings.peerEndpoint, .availabilityZone = settings.availabilityZone, .incarnation = initialIncarnation() };
    result.suspectAfter = settings.suspectAfter;
    // A suspect is declared dead when it has not answered probes for six rounds.
    result.deadAfter = settings.suspectAfter + settings.gossipInterval * 6;
    result.seed = settings.seed ^ std::hash<std::string>()(settings.instance);
    return result;
}

}

ClusterCore::ClusterCore(IoThreads& ioThreads, ClusterSettings clusterSettings, EventLog& eventLog)
    : threads(ioThreads)
    , settings(std::move(clusterSettings))
    , log(eventLog)
    , store(settings)
    , membership(makeMembership(membershipSettings(settings), monotonicNow()))
{
}

auto peerRequest(ClusterCore& core, std::string method, std::string target, std::string body) -> HttpRequest
{
    HttpRequest request { std::move(method), std::move(target), {}, std::move(body), true };
    request.headers.push_back({ std::string(peerKeyHeader), core.settings.peerKey });
    request.headers.push_back({ std::string(hybridTimeHeader), toString(core.log.clock().tick()) });
    return request;
}

auto spawnOnFirstThread(const ClusterPointer& core, asio::awaitable<void> task) -> void
{
    asio::co_spawn(core->threads.context(0), std::move(task), logTaskFailure(core->log, "cluster"));
}

}
