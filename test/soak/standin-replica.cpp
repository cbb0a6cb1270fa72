// Stand-in for a backend server of the platform. It prints a line for each request that it starts
// to run or rejects, before it responds. Signals change its behaviour.
#include "CommandLine.h"
#include "FakeBackendServer.h"
#include "ReplicaControl.h"
#include "StandinMain.h"

#include <algorithm>
#include <iostream>

#include <unistd.h>

using namespace jayhold;

namespace {

/// Value of Retry-After in rejections, in seconds.
constexpr auto retryDelay = "2";
constexpr std::int64_t nominalPercent = 100;

auto headerText(const HttpRequest& request, std::string_view name) -> std::string
{
    return std::string(findHeader(request.headers, name).value_or(std::string_view()));
}

/// @return the values of all headers Tenant, so that a second one is seen.
auto customerNames(const HttpRequest& request) -> std::string
{
    std::string names;
    for (const auto& header : request.headers) {
        if (equalHeaderNames(header.name, "Tenant"))
            names += (names.empty() ? "" : "+") + header.value;
    }
    return names;
}

/// @return whether some part of the request contains the credentials of a customer.
auto hasKey(const HttpRequest& request) -> bool
{
    const auto isKey = [](std::string_view text) { return text.find(soak::keyMark) != std::string_view::npos; };
    return isKey(request.target) || isKey(request.body) || std::ranges::any_of(request.headers, [&](const HttpHeader& header) { return equalHeaderNames(header.name, "Authorization") || isKey(header.value); });
}

/// @param customer value of the header Tenant; empty if there is none.
auto print(const std::string& event, const FakeBackendServer& replica, const std::string& request, const std::string& stage, const std::string& retryAfter, const std::string& customer = {}) -> void
{
    const auto line = "event=" + event + " replica=" + replica.id() + " process=" + std::to_string(getpid()) + " request=" + request + " stage=" + (stage.empty() ? "run" : stage) + " leaving=" + (replica.isLeaving() ? "1" : "0")
        + " retry_after=" + retryAfter + " customer=" + customer + " at=" + std::to_string(monotonicNow().time_since_epoch().count()) + "\n";
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
    std::int64_t speedPercent = nominalPercent;
    HttpEndpoint listen { "127.0.0.1", 0 };
    const std::vector<CommandOption> options {
        textOption("id", "identifier of the backend server (required)", id),
        textOption("software", "software version that the events of streams show", version),
        numberOption("speed-percent", "speed of its work in percent of the nominal one", speedPercent),
        endpointOption("listen", "address to listen on", listen),
    };
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "backend server of the platform for the soak", options))
        return static_cast<int>(*code);
    if (id.empty() || speedPercent < 1) {
        std::cerr << "standin-replica: --id and a positive speed are required\n";
        return static_cast<int>(ExitCode::Usage);
    }
    // In all threads, so that handleSignals() receives them.
    const auto signals = controlSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    IoThreads threads(1);
    FakeBackendServer replica(threads, id, FakeBackendServer::Behaviour::Answer, listen);
    const LoopMonitor loopMonitor(threads, printStall);
    replica.setVersion(version);
    const auto atSpeed = [&](Duration time) { return time * nominalPercent / speedPercent; };
    replica.setTiming(atSpeed(std::chrono::milliseconds(10)), atSpeed(std::chrono::milliseconds(20)));
    replica.onStart([&](const HttpRequest& request) { print("run", replica, headerText(request, "Request-Id"), headerText(request, "Stage"), "0", customerNames(request)); });
    replica.onArrival([&](const HttpRequest& request) {
        if (hasKey(request))
            print("key_received", replica, headerText(request, "Request-Id"), headerText(request, "Stage"), "0");
    });
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
