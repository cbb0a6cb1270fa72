#pragma once

/// The command line of jayhold-bench.

#include "Sharing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayhold::bench {

struct BenchOptions {
    /// Names of the workloads and arms to run. An empty list selects all.
    std::vector<std::string> workloads;
    std::vector<std::string> arms;
    std::vector<double> loads { 0.5, 0.75, 1, 1.5, 2 };
    /// Sets of fault names; the matrix has one cell per set.
    std::vector<std::vector<std::string>> faults;
    std::vector<Sharing> sharings { Sharing::Independent };
    std::uint64_t seed = 1;
    double seconds = 90;
    unsigned threads = 4;
    /// Runs seeds and request mixes on which no setting was tuned.
    bool checkSet = false;
    std::optional<double> wastedPrefillWeight;
    /// Prints refusals by reason and the number of requests that missed each target.
    bool details = false;
    std::string jsonFile;
    std::string svgFile;
};

/// An invalid command line, with a message for the user.
struct UsageError {
    std::string text;
};

auto benchHelp() -> std::string;

/// @return the options, or std::nullopt after printing the help or the version.
/// @throws UsageError
auto parseBenchOptions(int argc, char** argv) -> std::optional<BenchOptions>;

}
