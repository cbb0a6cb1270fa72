#pragma once

/// Expands the options to cells and runs them on threads.

#include "BenchOptions.h"
#include "Row.h"

#include <vector>

namespace jayhold::bench {

/// @return the cells in the order of the tables.
/// @throws UsageError for a workload or arm that does not exist.
auto cellsFor(const BenchOptions& options) -> std::vector<Cell>;

/// @return one row for each cell, in the same order whatever thread ran it.
auto runCells(const std::vector<Cell>& cells, unsigned threads) -> std::vector<Row>;

}
