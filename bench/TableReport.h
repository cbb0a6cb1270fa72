#pragma once

/// Prints the results as tables for people.

#include "BoundChecks.h"
#include "Row.h"

#include <iosfwd>
#include <span>

namespace jayhold::bench {

/// @param details whether refusals by reason and missed targets follow each cell.
auto printTable(std::ostream& out, std::span<Row> rows, bool details) -> void;
auto printChecks(std::ostream& out, std::span<const BoundCheck> checks) -> void;

}
