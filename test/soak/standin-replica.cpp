// Stand-in for a backend server of the platform. It prints a line for each request that it starts
// to run or rejects, before it responds. Signals change its behaviour.
#include "CommandLine.h"
#include "FakeBackendServer.h"
#include "ReplicaControl.h"
#include "StandinMain.h"

#include <iostream>

#include <unistd.h>

using namespace jayhold;

namespace {

/// Value of Retry-After in rejections, in seconds.
constexpr auto retryDelay = "2";

auto print(const std::string& event, const FakeBackendServer& replica, const std::string& request, const std::string& stage, const std::string& retryAfter) -> void
{
    const auto line = "event=" + event + " replica=" + replica.id() + " process=" + std::to_string(getpid()) + " request=" + request + " stage=" + (stage.empty() ? "run" : stage) + " leaving=" + (replica.isLeaving() ? "1" : "0")
        + " retry_after=" + retryAfter + " at=" + std::to_string(monotonicNow().time_since_epoch().count()) + "\n";
    // A single unbuffered write, so that the line is complete even if the process is killed while
    // it responds.
    if (write(STDOUT_FILENO, line.data(), line.size()) < 0)
        std::exit(static_cast<int>(ExitCode::Failed));
}

auto controlSignals() -> sigset_t
{
    sigset_t set;
    sigemptyset(&set);
    for (const auto signal : { SIGTERM, SIGINT, soak::leaveSignal, soak::rejectSignal, soak::silenceSignal(true), soak::silenceSignal(false), soak::fullSignal(true), soak::fullSignal(false) })
        sigaddset(&set, signal);
    return set;
}

/// Handles the signals of the soak until one of them ends the process.
auto handleSignals(FakeBackendServer& replica) -> void
{
    const auto set = controlSignals();
    auto isRejecting = false;
    for (int signal = 0; sigwait(&set, &signal) == 0 && signal != SIGTERM && signal != SIGINT;) {
        if (signal == soak::leaveSignal) {
            replica.setLeaving(true);
        } else if (signal == soak::rejectSignal) {
            isRejecting = !isRejecting;
            replica.setRetryDelay(isRejecting ? retryDelay : "");
        } else if (signal == soak::silenceSignal(true) || signal == soak::silenceSignal(false)) {
            replica.setSilent(signal == soak::silenceSignal(true));
        } else {
            replica.setFull(signal == soak::fullSignal(true));
        }
    }
}

}

auto main(int argc, char** argv) -> int
{
    std::string id;
    std::string version;
    HttpEndpoint listen { "127.0.0.1", 0 };
    const std::vector<CommandOption> options {
        textOption("id", "identifier of the backend server (required)", id),
        textOption("software", "software version that the events of streams show", version),
        endpointOption("listen", "address to listen on", listen),
    };
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "backend server of the platform for the soak", options))
        return static_cast<int>(*code);
    if (id.empty()) {
        std::cerr << "standin-replica: --id is required\n";
        return static_cast<int>(ExitCode::Usage);
    }
    // In all threads, so that handleSignals() receives them.
    const auto signals = controlSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    IoThreads threads(1);
    FakeBackendServer replica(threads, id, FakeBackendServer::Behaviour::Answer, listen);
    const LoopMonitor loopMonitor(threads, printStall);
    replica.setVersion(version);
    replica.setTiming(std::chrono::milliseconds(10), std::chrono::milliseconds(20));
    replica.onRun([&](const std::string& request, const std::string& stage) { print("run", replica, request, stage, "0"); });
    replica.onFirstEvent([&](const HttpRequest& request) {
        const auto hasPart = findHeader(request.headers, "Prompt-Prefix").value_or(std::string_view()).find(soak::crashingPart) != std::string_view::npos;
        if (!hasPart && request.target != soak::crashingTarget)
            return;
        print("crashed", replica, std::string(findHeader(request.headers, "Request-Id").value_or(std::string_view())), "", "0");
        _exit(soak::crashExitCode);
    });
    replica.onRejection([&](const std::string& request, const std::string& stage, const std::string& delay) { print("rejected", replica, request, stage, delay); });
    printListening(replica.endpoint());
    handleSignals(replica);
    threads.stop();
    return static_cast<int>(ExitCode::Success);
}
