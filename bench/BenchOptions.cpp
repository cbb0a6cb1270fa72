#include "BenchOptions.h"

#include "Faults.h"
#include "Version.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

namespace jayhold::bench {

namespace {

enum Option {
    Workload = 1,
    Load,
    FaultsOption,
    ArmOption,
    Seed,
    Seconds,
    Threads,
    CheckSet,
    SharingOption,
    Weight,
    Details,
    Json,
    Svg,
    Help,
    VersionOption,
};

constexpr option longOptions[] = {
    { "workload", required_argument, nullptr, Workload },
    { "load", required_argument, nullptr, Load },
    { "faults", required_argument, nullptr, FaultsOption },
    { "arm", required_argument, nullptr, ArmOption },
    { "seed", required_argument, nullptr, Seed },
    { "seconds", required_argument, nullptr, Seconds },
    { "threads", required_argument, nullptr, Threads },
    { "check-set", no_argument, nullptr, CheckSet },
    { "sharing", required_argument, nullptr, SharingOption },
    { "weight", required_argument, nullptr, Weight },
    { "details", no_argument, nullptr, Details },
    { "json", required_argument, nullptr, Json },
    { "svg", required_argument, nullptr, Svg },
    { "help", no_argument, nullptr, Help },
    { "version", no_argument, nullptr, VersionOption },
    { nullptr, 0, nullptr, 0 },
};

auto split(const std::string& text, char separator) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        parts.push_back(part);
    return parts;
}

template <typename Number>
auto parseNumber(const std::string& text, const char* option) -> Number
{
    Number value {};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc {} || result.ptr != text.data() + text.size() || value < Number {})
        throw UsageError { std::string("--") + option + ": '" + text + "' is not a valid non-negative number" };
    return value;
}

template <typename Value>
auto parseNames(const std::string& text, const char* option, const std::map<std::string, Value>& values) -> std::vector<Value>
{
    std::vector<Value> chosen;
    for (const auto& part : split(text, ',')) {
        const auto found = values.find(part);
        if (found == values.end())
            throw UsageError { std::string("--") + option + ": unknown value '" + part + "'" };
        chosen.push_back(found->second);
    }
    return chosen;
}

auto parseFaultSet(const std::string& text) -> std::vector<std::string>
{
    if (text == "none")
        return {};
    if (text == "all")
        return faultNames();
    const auto known = faultNames();
    auto chosen = split(text, '+');
    for (const auto& name : chosen) {
        if (std::ranges::find(known, name) == known.end())
            throw UsageError { "--faults: unknown fault '" + name + "'" };
    }
    return chosen;
}

auto parseFaults(const std::string& text) -> std::vector<std::vector<std::string>>
{
    std::vector<std::vector<std::string>> sets;
    for (const auto& part : split(text, ','))
        sets.push_back(parseFaultSet(part));
    return sets;
}

auto parseSharing(const std::string& text) -> std::vector<Sharing>
{
    return parseNames<Sharing>(text, "sharing", { { "independent", Sharing::Independent }, { "owner", Sharing::Owner }, { "credits", Sharing::Credits } });
}

auto parseLoads(const std::string& text) -> std::vector<double>
{
    std::vector<double> loads;
    for (const auto& part : split(text, ','))
        loads.push_back(parseNumber<double>(part, "load"));
    return loads;
}

auto applyOption(BenchOptions& options, int code, const std::string& value) -> void
{
    switch (code) {
    case Workload:
        options.workloads = split(value, ',');
        return;
    case Load:
        options.loads = parseLoads(value);
        return;
    case FaultsOption:
        options.faults = parseFaults(value);
        return;
    case ArmOption:
        options.arms = split(value, ',');
        return;
    case Seed:
        options.seed = parseNumber<std::uint64_t>(value, "seed");
        return;
    case Seconds:
        options.seconds = std::max(1.0, parseNumber<double>(value, "seconds"));
        return;
    case Threads:
        options.threads = std::max(1U, parseNumber<unsigned>(value, "threads"));
        return;
    case CheckSet:
        options.checkSet = true;
        return;
    case SharingOption:
        options.sharings = parseSharing(value);
        return;
    case Weight:
        options.wastedPrefillWeight = parseNumber<double>(value, "weight");
        return;
    case Details:
        options.details = true;
        return;
    case Json:
        options.jsonFile = value;
        return;
    case Svg:
        options.svgFile = value;
        return;
    default:
        throw UsageError { "unknown option; see --help" };
    }
}

}

auto benchHelp() -> std::string
{
    return R"(usage: jayhold-bench [OPTIONS]
Runs the decision code in virtual time against baselines and an upper bound.

  --workload NAMES   caprock, babamen, caprock-appraisal-flood (default: all)
  --load FACTORS     multiples of the capacity (default: 0.5,0.75,1,1.5,2)
  --faults LIST      none, all, or names joined with +: death, cut, crash, stall, cancel, lag, cache,
                     repeat (default: none,all)
  --arm NAMES        round-robin, least-outstanding, jayhold (default: all)
  --sharing LIST     independent, owner, credits: how entry instances share the engines
                     (default: independent)
  --weight W         replaces the workload's wasted_prefill_weight, from 0 to 1
  --seed N           seed of arrivals, sizes and faults (default: 1)
  --seconds S        length of the simulated day in virtual time (default: 90)
  --check-set        runs seeds and request mixes on which no setting was tuned
  --threads N        number of cells run concurrently (default: 4)
  --details          prints refusals by reason and missed targets for each cell
  --json FILE        writes all results as JSON
  --svg FILE         writes a plot of goodput and wasted prefill against load
  --help, --version

List items are separated by commas. Each bound is printed as pass or MISS; a missed bound does not change
the exit code.
)";
}

auto parseBenchOptions(int argc, char** argv) -> std::optional<BenchOptions>
{
    BenchOptions options;
    options.faults = { {}, faultNames() };
    for (;;) {
        // getopt_long is not thread-safe, but no other thread runs while the command line is parsed.
        const auto code = getopt_long(argc, argv, "", longOptions, nullptr); // NOLINT(concurrency-mt-unsafe)
        if (code == -1)
            break;
        if (code == Help) {
            std::cout << benchHelp();
            return std::nullopt;
        }
        if (code == VersionOption) {
            std::cout << "jayhold-bench " << version() << '\n';
            return std::nullopt;
        }
        applyOption(options, code, optarg ? optarg : "");
    }
    if (optind < argc)
        throw UsageError { std::string("unexpected argument '") + argv[optind] + "'" };
    return options;
}

}
