#pragma once

/// A syntax error in a scenario file, or a statement that failed.

#include <cstddef>
#include <string>

namespace jayhold {

struct ScenarioError {
    std::size_t line = 0;
    /// Counted from 1; 0 if the error concerns the whole line.
    std::size_t column = 0;
    std::string message;
};

/// @return `FILE:LINE:COLUMN: message`.
auto describe(const std::string& file, const ScenarioError& error) -> std::string;

}
