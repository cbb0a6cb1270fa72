// Runs a scenario file with real processes on the loopback interface.

#include "CommandLine.h"
#include "FileError.h"
#include "LogLine.h"
#include "ScenarioParser.h"
#include "ScenarioRunner.h"

#include <boost/leaf/handle_errors.hpp>

#include <filesystem>
#include <iostream>

namespace {

using namespace jayhold;
namespace leaf = boost::leaf;

struct Options {
    std::string file;
    std::string programs;
    bool isCheckOnly = false;
    bool printsSummary = false;
};

auto makeCommandOptions(Options& options) -> std::vector<CommandOption>
{
    return {
        textOption("file", "scenario file", options.file),
        textOption("programs", "directory of the programs; defaults to the directory of this program", options.programs),
        booleanOption("summary", "print the reports of the loads and a summary of the metrics", options.printsSummary),
        booleanOption("check", "check the syntax of the file without running it", options.isCheckOnly),
    };
}

auto parseFile(const Options& options) -> leaf::result<std::vector<Statement>>
{
    BOOST_LEAF_AUTO(text, readFile(options.file));
    return parseScenario(text);
}

/// Runs an operation and prints its error.
/// @param code the exit code if the operation fails.
template <typename Operation>
auto runAndReport(const Options& options, ExitCode code, Operation operation) -> ExitCode
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<ExitCode> {
            BOOST_LEAF_CHECK(operation());
            return ExitCode::Success;
        },
        [&](const ScenarioError& error) {
            std::cerr << describe(options.file, error) << '\n';
            return code;
        },
        [&](const FileError& error) {
            std::cerr << "jayhold-scenario: " << describe(error) << '\n';
            return code;
        },
        [&] {
            std::cerr << "jayhold-scenario: unknown failure\n";
            return code;
        });
}

auto runScenario(const Options& options) -> ExitCode
{
    std::vector<Statement> statements;
    const auto parsed = runAndReport(options, ExitCode::Usage, [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(statements, parseFile(options));
        return {};
    });
    if (parsed != ExitCode::Success || options.isCheckOnly)
        return parsed;
    ScenarioRunner runner(options.programs);
    const auto start = monotonicNow();
    const auto code = runAndReport(options, ExitCode::Failed, [&] { return runner.run(statements); });
    if (options.printsSummary)
        runner.printSummary(std::cout);
    if (code != ExitCode::Success)
        runner.printTimeline(std::cerr);
    const auto seconds = std::chrono::duration<double>(monotonicNow() - start).count();
    std::cout << options.file << ": " << (code == ExitCode::Success ? "passed" : "failed") << " in " << seconds << " s\n";
    return code;
}

}

auto main(int argc, char** argv) -> int
{
    Options options;
    options.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    const auto commandOptions = makeCommandOptions(options);
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "runs a scenario file with real processes", commandOptions))
        return static_cast<int>(*code);
    if (options.file.empty()) {
        std::cerr << "jayhold-scenario: --file is required\n";
        return static_cast<int>(ExitCode::Usage);
    }
    configureLogging(LogLevel::Warning);
    return static_cast<int>(runScenario(options));
}
