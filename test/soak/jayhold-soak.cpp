// Runs the real programs on one machine under random faults and checks the guarantees of the
// platform deployment during and after the faults.
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

/// Time after the last fault within which all entry instances must be ready again.
constexpr auto recoveryTime = std::chrono::seconds(8);
constexpr auto settlingTime = std::chrono::seconds(2);
/// Time after the store's acknowledgement within which a configuration must be active everywhere.
constexpr auto maxPropagationTime = std::chrono::seconds(2);
/// A healthy backend server may fall silent for about this long.
constexpr auto backendPause = std::chrono::milliseconds(1'300);
constexpr std::size_t maxViolationsShown = 40;

struct Options {
    std::int64_t seed = 1;
    std::int64_t runs = 1;
    std::int64_t seconds = 8;
    std::string programs;
    std::string logs;
};

struct FaultEvent {
    Duration at {};
    bool isStart = false;
    PlannedFault fault;
};

auto faultEvents(const std::vector<PlannedFault>& plan) -> std::vector<FaultEvent>
{
    std::vector<FaultEvent> timeline;
    for (const auto& fault : plan) {
        timeline.push_back({ fault.start, true, fault });
        timeline.push_back({ fault.start + fault.length, false, fault });
    }
    std::ranges::stable_sort(timeline, {}, &FaultEvent::at);
    return timeline;
}

auto injectFaults(SoakFleet& fleet, const std::vector<PlannedFault>& plan, TimePoint start) -> void
{
    for (const auto& faultEvent : faultEvents(plan)) {
        std::this_thread::sleep_until(start + faultEvent.at);
        if (faultEvent.isStart)
            fleet.begin(faultEvent.fault);
        else
            fleet.end(faultEvent.fault);
    }
}

struct RunResult {
    std::vector<Violation> violations;
    std::size_t calls = 0;
    std::size_t successes = 0;
    std::vector<std::string> logs;
};

auto append(std::vector<Violation>& violations, const std::vector<Violation>& more) -> void
{
    violations.insert(violations.end(), more.begin(), more.end());
}

/// Changes the configuration while the backend servers pause, marks one of them as leaving and restarts the entry
/// instances one after the other, without other faults.
auto performPlannedMaintenance(SoakFleet& fleet, const FleetSize& size, FaultFreePeriod& faultFreePeriod, TimePoint& leavingSince, std::vector<Violation>& violations) -> void
{
    faultFreePeriod.from = monotonicNow();
    fleet.pauseBackendsBesideChange(backendPause);
    std::this_thread::sleep_for(maxPropagationTime - backendPause);
    for (const auto& entry : fleet.findOutdatedEntries())
        violations.push_back({ "a configuration is active everywhere in time", "", entry });
    fleet.markLeaving(0, true);
    leavingSince = monotonicNow();
    for (std::size_t index = 0; index < size.entries; ++index) {
        if (const auto problem = fleet.restartGracefully(index); !problem.empty())
            violations.push_back({ "an entry instance shuts down gracefully", "", problem });
        if (!fleet.waitUntilReady(recoveryTime))
            violations.push_back({ "a restarted entry instance becomes ready", "", "edge-" + std::to_string(index) });
    }
    std::this_thread::sleep_for(SoakFleet::maxDeregistrationDelay);
    faultFreePeriod.until = monotonicNow();
}

/// @return a violation if the fleet does not serve requests again after its faults.
auto checkRecovery(const std::vector<CallRecord>& calls, TimePoint from) -> std::vector<Violation>
{
    constexpr double minServedRatio = 0.95;
    double sent = 0;
    double served = 0;
    for (const auto& call : calls) {
        if (call.sentAt < from || call.sentAt > from + settlingTime)
            continue;
        sent += 1;
        served += call.status / 100 == 2;
    }
    if (sent > 0 && served >= minServedRatio * sent)
        return {};
    return { { "the fleet serves again after its faults", "", std::to_string(served) + " of " + std::to_string(sent) + " requests served" } };
}

auto runOnce(const Options& options, std::uint64_t seed, const std::vector<PlannedFault>& plan, const FleetSize& size) -> RunResult
{
    RunResult result;
    SoakFleet fleet(options.programs, size);
    if (!fleet.waitUntilReady(recoveryTime))
        result.violations.push_back({ "the fleet becomes ready", "", "before the first fault" });
    std::vector<HttpEndpoint> endpoints;
    for (std::size_t index = 0; index < size.entries; ++index)
        endpoints.push_back(fleet.entryEndpoint(index));
    SoakCallers callers(endpoints, seed);
    callers.start();
    injectFaults(fleet, plan, monotonicNow());
    if (!fleet.waitUntilReady(recoveryTime))
        result.violations.push_back({ "the fleet becomes ready again after its faults", "", "" });
    // Entry instances probe failed backend servers again only after some seconds.
    std::this_thread::sleep_for(settlingTime);
    const auto recoveredAt = monotonicNow();
    std::this_thread::sleep_for(settlingTime);
    FaultFreePeriod faultFreePeriod;
    TimePoint leavingSince;
    performPlannedMaintenance(fleet, size, faultFreePeriod, leavingSince, result.violations);
    callers.stop();
    const auto calls = callers.records();
    const auto runs = fleet.runs();
    append(result.violations, checkRecovery(calls, recoveredAt));
    append(result.violations, checkCalls(calls, runs, faultFreePeriod));
    append(result.violations, checkLeaving(runs, fleet.backendName(0), leavingSince + SoakFleet::maxDeregistrationDelay, faultFreePeriod.until));
    for (const auto& fault : fleet.findEntryFailures())
        result.violations.push_back({ "entry instances stay alive and within their resource limits", "", fault });
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

auto printReport(const Options& options, std::uint64_t seed, const std::vector<PlannedFault>& plan, const RunResult& result) -> void
{
    for (const auto& fault : plan)
        std::cout << "  " << describe(fault) << '\n';
    std::size_t shown = 0;
    for (const auto& violation : result.violations) {
        if (++shown > maxViolationsShown)
            break;
        std::cout << "  BROKEN: " << violation.guarantee << (violation.request.empty() ? "" : ": " + violation.request) << (violation.detail.empty() ? "" : ": " + violation.detail) << '\n';
        if (!violation.request.empty())
            printHistory(result.logs, violation.request);
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
        numberOption("runs", "number of runs; each uses the next seed", options.runs),
        numberOption("seconds", "duration of the fault injection in seconds", options.seconds),
        textOption("programs", "directory of the programs; defaults to the directory of this program", options.programs),
        textOption("logs", "directory for the logs of failed runs", options.logs),
    };
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "runs the real programs under random faults and checks their guarantees", commandOptions))
        return static_cast<int>(*code);
    configureLogging(LogLevel::Error);
    auto failed = 0;
    for (auto run = 0; run < options.runs; ++run) {
        const auto seed = static_cast<std::uint64_t>(options.seed + run);
        const FleetSize size;
        const auto plan = planFaults(seed, std::chrono::seconds(options.seconds), size);
        const auto result = runOnce(options, seed, plan, size);
        std::cout << "seed " << seed << ": " << (result.violations.empty() ? "passed" : "FAILED") << ", " << plan.size() << " faults, " << result.calls << " calls, " << result.successes << " served" << std::endl;
        if (result.violations.empty())
            continue;
        ++failed;
        printReport(options, seed, plan, result);
    }
    std::cout << failed << " of " << options.runs << " runs failed\n";
    return static_cast<int>(failed ? ExitCode::Failed : ExitCode::Success);
}
