#pragma once

/// A fault in a scenario file, or a step of a scenario that failed.

#include <cstddef>
#include <string>

namespace jayhold {

struct ScenarioError {
    std::size_t line = 0;
    /// From 1; 0 where the whole line is meant.
    std::size_t column = 0;
    std::string message;
};

/// @return `FILE:LINE:COLUMN: message`.
auto describe(const std::string& file, const ScenarioError& error) -> std::string;

}
