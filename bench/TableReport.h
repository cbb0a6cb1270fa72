#pragma once

/// Prints the results as human-readable tables.

#include "BoundChecks.h"
#include "Row.h"

#include <iosfwd>
#include <span>

namespace jayhold::bench {

/// @param details whether to print refusals by reason and missed targets after each row.
auto printTable(std::ostream& out, std::span<Row> rows, bool details) -> void;
auto printChecks(std::ostream& out, std::span<const BoundCheck> checks) -> void;

}
