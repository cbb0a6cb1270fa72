#pragma once

/// Serializes the results as JSON.

#include "BoundChecks.h"
#include "Row.h"

#include <span>
#include <string>

namespace jayhold::bench {

auto jsonReport(std::span<Row> rows, std::span<const BoundCheck> checks) -> std::string;

}
