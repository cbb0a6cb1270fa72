// Generates caller load and verifies every response byte for byte.

#include "CommandLine.h"
#include "ConfigError.h"
#include "FileError.h"
#include "JsonText.h"
#include "LoadMix.h"
#include "LoadRunner.h"
#include "LogLine.h"

#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace jayhold;
namespace leaf = boost::leaf;

struct Options {
    LoadSettings load;
    std::string mixFile;
    std::string jsonFile;
    std::int64_t durationMilliseconds = 5'000;
    std::int64_t callTimeoutMilliseconds = 60'000;
    std::int64_t seed = 1;
};

auto optionsOf(Options& options) -> std::vector<CommandOption>
{
    return {
        endpointsOption("entry", "address of an entry instance; may be given several times", options.load.entries),
        textOption("mix", "JSON file of the load mix, such as examples/caprock-load.json", options.mixFile),
        decimalOption("rate", "calls per second", options.load.ratePerSecond),
        numberOption("duration-ms", "how long calls are started", options.durationMilliseconds),
        numberOption("concurrency", "maximum number of concurrent calls", options.load.concurrency),
        numberOption("threads", "I/O threads", options.load.threads),
        numberOption("call-timeout-ms", "maximum time for one call with its retries", options.callTimeoutMilliseconds),
        numberOption("maximum-attempts", "maximum number of attempts per call", options.load.maxAttempts),
        numberOption("seed", "seed of the choice of calls and part of their names", options.seed),
        booleanOption("retry", "whether calls that were refused without running or lost their connection are retried", options.load.retriesRefusals),
        textOption("json", "file for the results as JSON; - for standard output", options.jsonFile),
    };
}

auto loadMix(const std::string& path, std::vector<LoadItem>& mix) -> bool
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(text, readFile(path));
            BOOST_LEAF_ASSIGN(mix, parseLoadMix(text));
            return true;
        },
        [](const ConfigError& error) {
            std::cerr << "jayhold-load: " << describe(error) << '\n';
            return false;
        },
        [](const FileError& error) {
            std::cerr << "jayhold-load: " << describe(error) << '\n';
            return false;
        },
        [] {
            std::cerr << "jayhold-load: the load mix can't be read\n";
            return false;
        });
}

auto isValid(const Options& options) -> bool
{
    const auto& load = options.load;
    if (!load.entries.empty() && !options.mixFile.empty() && load.ratePerSecond > 0 && load.threads > 0 && load.concurrency > 0)
        return true;
    std::cerr << "jayhold-load: --entry and --mix are required; --rate, --threads and --concurrency must be over 0\n";
    return false;
}

auto writeReport(const Options& options, const boost::json::object& report) -> bool
{
    if (options.jsonFile == "-") {
        std::cout << prettyJson(report);
        return true;
    }
    std::cout << LoadReport::table(report);
    if (options.jsonFile.empty())
        return true;
    std::ofstream output(options.jsonFile);
    output << prettyJson(report);
    return output.good();
}

/// @return whether no response was lost, wrong or doubled.
auto isSuccessful(const boost::json::object& report) -> bool
{
    const auto& total = report.at("total").as_object();
    return total.at("lost") == 0 && total.at("wrong") == 0 && total.at("doubled") == 0;
}

}

auto main(int argc, char** argv) -> int
{
    Options options;
    const auto commandOptions = optionsOf(options);
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (const auto code = parseCommandLine(arguments, "generates caller load and verifies every response", commandOptions))
        return static_cast<int>(*code);
    options.load.duration = std::chrono::milliseconds(options.durationMilliseconds);
    options.load.callTimeout = std::chrono::milliseconds(options.callTimeoutMilliseconds);
    options.load.seed = static_cast<std::uint64_t>(options.seed);
    if (!isValid(options) || !loadMix(options.mixFile, options.load.mix))
        return static_cast<int>(ExitCode::Usage);
    configureLogging(LogLevel::Warning);
    LoadReport report(options.load.mix);
    const auto elapsed = runLoad(options.load, report);
    const auto json = report.toJson(elapsed);
    const auto isWritten = writeReport(options, json);
    return static_cast<int>(isWritten && isSuccessful(json) ? ExitCode::Success : ExitCode::Failed);
}
