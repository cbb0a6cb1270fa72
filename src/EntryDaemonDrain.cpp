#include "EntryDaemonState.h"

#include "AwaitToken.h"
#include "DrainTimes.h"
#include "DrainWait.h"
#include "Tasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jayhold {

namespace asio = boost::asio;

namespace {

/// Time for two rounds of gossip, within which the peers learn that this instance is leaving and take over
/// its partitions.
constexpr auto handoverTime = std::chrono::milliseconds(1'200);
constexpr auto memberInterval = std::chrono::milliseconds(250);

auto pause(asio::steady_timer& timer, std::chrono::milliseconds duration) -> asio::awaitable<void>
{
    timer.expires_after(duration);
    boost::system::error_code code;
    co_await timer.async_wait(awaitInto(code));
}

}

auto EntryDaemon::State::startDraining() -> void
{
    if (context.isDraining.exchange(true))
        return;
    log.record(LogLevel::Info, "draining", { { "open_requests", context.openRequests.load() } });
    asio::co_spawn(threads->context(0), drain(), logTaskFailure(log, "drain"));
}

auto EntryDaemon::State::drain() -> asio::awaitable<void>
{
    const auto startedAt = monotonicNow();
    // Connections stay open for refusals and for /readyz, but each response closes its connection.
    callerServer->closeAfterResponses();
    node->startDraining();
    const auto endsAt = drainTimes(startedAt, settings.drainTimeout).requestsEndAt;
    context.requestsEndAt = endsAt.time_since_epoch().count();
    services->startDraining({ .endsAt = endsAt });
    const auto isComplete = co_await awaitOpenRequests();
    asio::steady_timer timer(threads->context(0));
    const auto handoverDeadline = startedAt + handoverTime;
    if (const auto now = monotonicNow(); now < handoverDeadline)
        co_await pause(timer, std::chrono::ceil<std::chrono::milliseconds>(handoverDeadline - now));
    callerServer->stopAccepting();
    // A request that arrived just before the server stopped accepting still gets its response.
    const auto areLastRequestsComplete = co_await awaitOpenRequests();
    log.record(LogLevel::Info, "drained", { { "complete", isComplete && areLastRequestsComplete } });
    onDrainedCallback(isComplete && areLastRequestsComplete);
}

auto EntryDaemon::State::awaitOpenRequests() -> asio::awaitable<bool>
{
    const auto times = drainTimes(monotonicNow(), settings.drainTimeout);
    co_await awaitExchanges(*callerServer, times.exchangesEndAt);
    callerServer->endOpenExchanges();
    co_await awaitExchanges(*callerServer, times.exitAt);
    co_return callerServer->activeExchanges() == 0 && callerServer->endedExchanges() == 0;
}

auto EntryDaemon::State::watchMembers() -> asio::awaitable<void>
{
    asio::steady_timer timer(threads->context(0));
    std::size_t mostMembers = 1;
    while (true) {
        const auto members = node->members();
        {
            const std::lock_guard guard(memberLock);
            memberIds.clear();
            for (const auto& member : members)
                memberIds.insert(member.id);
        }
        // Members that this instance can't reach may still be running, so the number never falls.
        mostMembers = std::max(mostMembers, members.size());
        services->updateInstanceCount(static_cast<std::uint32_t>(mostMembers));
        std::vector<std::string> names;
        names.reserve(members.size());
        for (const auto& member : members)
            names.push_back(member.id);
        std::ranges::sort(names);
        services->updateInstances(std::move(names));
        co_await pause(timer, memberInterval);
    }
}

auto EntryDaemon::State::shouldReclaimFor(std::string_view owner, std::string_view backend) -> bool
{
    auto isMember = false;
    {
        const std::lock_guard guard(memberLock);
        isMember = memberIds.contains(owner);
    }
    return lostOwners.isLost(owner, isMember, monotonicNow()) && node->ownerOf("engine/" + std::string(backend)) == settings.instance;
}

}
