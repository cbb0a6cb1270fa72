#include "DrainWait.h"

#include "Pause.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr Duration checkInterval = std::chrono::milliseconds(20);
/// A thread that is short of processor time throughout would otherwise never end the wait.
constexpr int maxExtensions = 2;

}

auto awaitExchanges(const HttpServer& server, TimePoint until) -> boost::asio::awaitable<void>
{
    auto now = monotonicNow();
    until = std::max(until, now + minDrainWait);
    auto extensions = 0;
    while (server.activeExchanges() > 0 && now < until) {
        const auto expected = now + checkInterval;
        co_await pause(checkInterval);
        now = monotonicNow();
        if (now - expected > minDrainWait && now + minDrainWait > until && extensions < maxExtensions) {
            until = now + minDrainWait;
            ++extensions;
        }
    }
}

}
