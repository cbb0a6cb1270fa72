#include "DrainWait.h"

#include "Pause.h"

#include <algorithm>

namespace jayhold {

namespace {

constexpr Duration checkInterval = std::chrono::milliseconds(20);

}

auto awaitExchanges(const HttpServer& server, TimePoint until) -> boost::asio::awaitable<void>
{
    auto now = monotonicNow();
    until = std::max(until, now + minDrainWait);
    while (server.activeExchanges() > 0 && now < until) {
        const auto expected = now + checkInterval;
        co_await pause(checkInterval);
        now = monotonicNow();
        if (now - expected > minDrainWait)
            until = std::max(until, now + minDrainWait);
    }
}

}
