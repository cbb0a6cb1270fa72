#pragma once

/// Expands the options to the cells of the matrix and runs them on a number of threads.

#include "BenchOptions.h"
#include "Row.h"

#include <vector>

namespace jayhold::bench {

/// @return the cells in the order in which the reports list them.
/// @throws UsageError for a workload or arm that does not exist.
auto cellsFor(const BenchOptions& options) -> std::vector<Cell>;

/// @return one row for each cell, in the order of the cells.
auto runCells(const std::vector<Cell>& cells, unsigned threads) -> std::vector<Row>;

}
