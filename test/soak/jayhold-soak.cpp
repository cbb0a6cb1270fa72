// Runs the real programs on one machine under random faults and checks the promises while and after.
#include "CommandLine.h"
#include "LogLine.h"
#include "LogParser.h"
#include "RequestHistory.h"
#include "SoakChecks.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

using namespace jayhold;
using namespace jayhold::soak;

namespace {

/// Time after the last fault in which the fleet has to serve again.
constexpr auto recoveryTime = std::chrono::seconds(8);
constexpr auto settledTime = std::chrono::seconds(2);
constexpr std::size_t shownLines = 40;

struct Options {
    std::int64_t seed = 1;
    std::int64_t runs = 1;
    std::int64_t seconds = 8;
    std::string programs;
    std::string logs;
};

struct FaultStep {
    Duration at {};
    bool isStart = false;
    PlannedFault fault;
};

auto stepsOf(const std::vector<PlannedFault>& plan) -> std::vector<FaultStep>
{
    std::vector<FaultStep> steps;
    for (const auto& fault : plan) {
        steps.push_back({ fault.start, true, fault });
        steps.push_back({ fault.start + fault.length, false, fault });
    }
    std::ranges::stable_sort(steps, {}, &FaultStep::at);
    return steps;
}

auto playFaults(SoakFleet& fleet, const std::vector<PlannedFault>& plan, TimePoint start) -> void
{
    for (const auto& step : stepsOf(plan)) {
        std::this_thread::sleep_until(start + step.at);
        if (step.isStart)
            fleet.begin(step.fault);
        else
            fleet.end(step.fault);
    }
}

struct RunResult {
    std::vector<BrokenPromise> broken;
    std::size_t calls = 0;
    std::size_t successes = 0;
    std::vector<std::string> logs;
};

auto add(std::vector<BrokenPromise>& broken, const std::vector<BrokenPromise>& more) -> void
{
    broken.insert(broken.end(), more.begin(), more.end());
}

/// Replaces the entry instances one after the other, and lets a backend server leave, on a fleet
/// without other faults.
auto playPlannedWork(SoakFleet& fleet, const FleetSize& size, CalmSpan& calm, TimePoint& left, std::vector<BrokenPromise>& broken) -> void
{
    calm.from = monotonicNow();
    fleet.markLeaving(0, true);
    left = monotonicNow();
    for (std::size_t index = 0; index < size.entries; ++index) {
        if (const auto problem = fleet.replaceInOrder(index); !problem.empty())
            broken.push_back({ "an entry instance ends in order", "", problem });
        if (!fleet.waitUntilReady(recoveryTime))
            broken.push_back({ "a new entry instance gets ready", "", "edge-" + std::to_string(index) });
    }
    std::this_thread::sleep_for(SoakFleet::drainBound);
    calm.until = monotonicNow();
}

/// @return the broken promise where the fleet does not serve after its faults.
auto checkRecovery(const std::vector<CallRecord>& calls, TimePoint from) -> std::vector<BrokenPromise>
{
    constexpr double servedPart = 0.95;
    double sent = 0;
    double served = 0;
    for (const auto& call : calls) {
        if (call.sentAt < from || call.sentAt > from + settledTime)
            continue;
        sent += 1;
        served += call.status / 100 == 2;
    }
    if (sent > 0 && served >= servedPart * sent)
        return {};
    return { { "the fleet serves again after its faults", "", std::to_string(served) + " of " + std::to_string(sent) + " requests served" } };
}

auto runOnce(const Options& options, std::uint64_t seed, const std::vector<PlannedFault>& plan, const FleetSize& size) -> RunResult
{
    RunResult result;
    SoakFleet fleet(options.programs, size);
    if (!fleet.waitUntilReady(recoveryTime))
        result.broken.push_back({ "the fleet gets ready", "", "no fault was played yet" });
    std::vector<HttpEndpoint> endpoints;
    for (std::size_t index = 0; index < size.entries; ++index)
        endpoints.push_back(fleet.entryEndpoint(index));
    SoakCallers callers(endpoints, seed);
    callers.start();
    playFaults(fleet, plan, monotonicNow());
    if (!fleet.waitUntilReady(recoveryTime))
        result.broken.push_back({ "the fleet gets ready again after its faults", "", "" });
    // Backend servers that failed are tried again after some seconds.
    std::this_thread::sleep_for(settledTime);
    const auto recovered = monotonicNow();
    std::this_thread::sleep_for(settledTime);
    CalmSpan calm;
    TimePoint left;
    playPlannedWork(fleet, size, calm, left, result.broken);
    callers.stop();
    const auto calls = callers.records();
    const auto runs = fleet.runs();
    add(result.broken, checkRecovery(calls, recovered));
    add(result.broken, checkCalls(calls, runs, calm));
    add(result.broken, checkLeaving(runs, fleet.backendName(0), left + SoakFleet::drainBound, calm.until));
    for (const auto& fault : fleet.faultyEntries())
        result.broken.push_back({ "entry instances stay alive and within their bounds", "", fault });
    result.calls = calls.size();
    result.successes = static_cast<std::size_t>(std::ranges::count_if(calls, [](const CallRecord& call) { return call.status / 100 == 2; }));
    result.logs = fleet.entryLogs();
    return result;
}

auto printHistory(const std::vector<std::string>& logs, const std::string& request) -> void
{
    std::vector<ParsedLogLine> lines;
    for (const auto& text : logs) {
        if (auto line = parseLogLine(text))
            lines.push_back(std::move(*line));
    }
    const auto history = explainRequest(lines, request);
    std::cout << "    " << history.outcome << "; " << history.cause << '\n';
    for (const auto& event : history.events) {
        std::cout << "    " << event.line.instance << ' ' << event.line.event;
        for (const auto& field : event.line.fields)
            std::cout << ' ' << field.key << '=' << field.value;
        std::cout << '\n';
    }
}

auto report(const Options& options, std::uint64_t seed, const std::vector<PlannedFault>& plan, const RunResult& result) -> void
{
    for (const auto& fault : plan)
        std::cout << "  " << describe(fault) << '\n';
    std::size_t shown = 0;
    for (const auto& broken : result.broken) {
        if (++shown > shownLines)
            break;
        std::cout << "  BROKEN: " << broken.promise << (broken.request.empty() ? "" : ": " + broken.request) << (broken.detail.empty() ? "" : ": " + broken.detail) << '\n';
        if (!broken.request.empty())
            printHistory(result.logs, broken.request);
    }
    if (options.logs.empty())
        return;
    std::filesystem::create_directories(options.logs);
    std::ofstream file(options.logs + "/seed-" + std::to_string(seed) + ".log");
    for (const auto& line : result.logs)
        file << line << '\n';
}

}

auto main(int argc, char** argv) -> int
{
    Options options;
    options.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    const std::vector<CommandOption> commandOptions {
        numberOption("seed", "seed of the first run", options.seed),
        numberOption("runs", "runs, each with the next seed", options.runs),
        numberOption("seconds", "time in which faults are played", options.seconds),
        textOption("programs", "folder of the programs; that of this program where absent", options.programs),
        textOption("logs", "folder for the logs of runs that failed", options.logs),
    };
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "runs the real programs under random faults and checks their promises", commandOptions))
        return static_cast<int>(*code);
    configureLogging(LogLevel::Error);
    auto failed = 0;
    for (auto run = 0; run < options.runs; ++run) {
        const auto seed = static_cast<std::uint64_t>(options.seed + run);
        const FleetSize size;
        const auto plan = planFaults(seed, std::chrono::seconds(options.seconds), size);
        const auto result = runOnce(options, seed, plan, size);
        std::cout << "seed " << seed << ": " << (result.broken.empty() ? "passed" : "FAILED") << ", " << plan.size() << " faults, " << result.calls << " calls, " << result.successes << " served" << std::endl;
        if (result.broken.empty())
            continue;
        ++failed;
        report(options, seed, plan, result);
    }
    std::cout << failed << " of " << options.runs << " runs failed\n";
    return static_cast<int>(failed ? ExitCode::Failed : ExitCode::Success);
}
