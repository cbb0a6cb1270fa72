#pragma once

/// Plots goodput and wasted prefill against load, with one line for each arm.

#include "Row.h"

#include <span>
#include <string>

namespace jayhold::bench {

auto svgPlot(std::span<const Row> rows) -> std::string;

}
