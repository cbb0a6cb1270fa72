#include "StandinMain.h"

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

auto waitForStop() -> void
{
    const auto set = stopSignals();
    int received = 0;
    sigwait(&set, &received);
}

}
