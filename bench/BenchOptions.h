#pragma once

/// The command line of jayhold-bench.

#include "Sharing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayhold::bench {

struct BenchOptions {
    /// names; empty selects all.
    std::vector<std::string> workloads;
    std::vector<std::string> arms;
    std::vector<double> loads { 0.5, 0.75, 1, 1.5, 2 };
    /// One set of fault names for each cell.
    std::vector<std::vector<std::string>> faults;
    std::vector<Sharing> sharings { Sharing::Independent };
    std::uint64_t seed = 1;
    double seconds = 90;
    unsigned threads = 4;
    /// Other seeds and mixes than those that anything was tuned on.
    bool checkSet = false;
    std::optional<double> wastedPrefillWeight;
    /// Prints refusals by reason and what missed which target.
    bool details = false;
    std::string jsonFile;
    std::string svgFile;
};

/// A command line that can't be used; the text says why.
struct UsageError {
    std::string text;
};

auto benchHelp() -> std::string;

/// @return the options, or nothing when help or the version was asked for and printed.
/// @throws UsageError
auto parseBenchOptions(int argc, char** argv) -> std::optional<BenchOptions>;

}
