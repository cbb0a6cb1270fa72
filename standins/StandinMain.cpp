#include "StandinMain.h"

#include <chrono>
#include <csignal>
#include <iostream>

namespace jayhold {

namespace {

auto stopSignals() -> sigset_t
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

}

auto blockStopSignals() -> void
{
    const auto set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

auto printListening(const HttpEndpoint& endpoint, std::string_view extra) -> void
{
    std::cout << "event=listening address=" << toString(endpoint);
    if (!extra.empty())
        std::cout << ' ' << extra;
    std::cout << std::endl;
}

auto printStall(const LoopStall& stall) -> void
{
    std::string line = "event=loop_stalled at=" + std::to_string(monotonicNow().time_since_epoch().count());
    for (const auto& field : describe(stall))
        line += " " + field.key + "=" + field.value;
    std::cout << line + "\n"
              << std::flush;
}

auto waitForStop() -> void
{
    const auto set = stopSignals();
    int received = 0;
    sigwait(&set, &received);
}

}
