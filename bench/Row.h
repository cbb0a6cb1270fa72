#pragma once

/// The result of one cell with its identifying parameters, as used by all reports.

#include "Cell.h"

#include <string>
#include <vector>

namespace jayhold::bench {

struct Row {
    std::string workload;
    double load = 0;
    /// "none", "all" or fault names joined with +.
    std::string faults;
    std::string arm;
    Sharing sharing = Sharing::Independent;
    std::uint64_t seed = 0;
    double seconds = 0;
    std::vector<std::string> kindNames;
    CellResult result;
};

inline auto withFaults(const Row& row) -> bool { return row.faults != "none"; }

/// @return the requests per second that met both targets, averaged over the simulated day.
auto goodputRate(const Row& row) -> double;
/// @return the fraction of the offered requests that met both targets.
auto goodputShare(const Row& row) -> double;
/// @return the clairvoyant bound in requests per second.
auto boundRate(const Row& row) -> double;

}
