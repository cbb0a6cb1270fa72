// Stand-in for a backend server of the platform. It prints a line for each request that it starts
// to run, before it responds.
#include "CommandLine.h"
#include "FakeObjectStore.h"
#include "StandinMain.h"

#include <iostream>

#include <unistd.h>

using namespace jayhold;

namespace {

auto printRun(const std::string& replica, const std::string& request, const std::string& stage) -> void
{
    const auto line = "event=run replica=" + replica + " request=" + request + " stage=" + (stage.empty() ? "run" : stage) + " at=" + std::to_string(monotonicNow().time_since_epoch().count()) + "\n";
    // A single unbuffered write, so that the line is complete even if the process is killed while
    // it responds.
    if (write(STDOUT_FILENO, line.data(), line.size()) < 0)
        std::exit(static_cast<int>(ExitCode::Failed));
}

}

auto main(int argc, char** argv) -> int
{
    std::string id;
    HttpEndpoint listen { "127.0.0.1", 0 };
    const std::vector<CommandOption> options {
        textOption("id", "identifier of the backend server (required)", id),
        endpointOption("listen", "address to listen on", listen),
    };
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "backend server of the platform for the soak", options))
        return static_cast<int>(*code);
    if (id.empty()) {
        std::cerr << "standin-replica: --id is required\n";
        return static_cast<int>(ExitCode::Usage);
    }
    blockStopSignals();
    IoThreads threads(1);
    FakeBackendServer replica(threads, id, FakeBackendServer::Behaviour::Answer, listen);
    replica.setTiming(std::chrono::milliseconds(10), std::chrono::milliseconds(20));
    replica.onRun([&](const std::string& request, const std::string& stage) { printRun(id, request, stage); });
    printListening(replica.endpoint());
    waitForStop();
    threads.stop();
    return static_cast<int>(ExitCode::Success);
}
