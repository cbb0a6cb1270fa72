#pragma once

/// A comparison in a scenario, such as `held = 0` or `decodes of d1 >= 3`.

#include "Time.h"

#include <optional>
#include <string>

namespace jayhold {

enum class Comparison {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
};

struct Condition {
    std::string metric;
    /// The process whose metric is meant; empty for the metrics of the whole scenario.
    std::string process;
    Comparison comparison = Comparison::Equal;
    double number = 0;
    /// Longest time for the condition to become true; absent where it must hold at once.
    std::optional<Duration> within;
};

/// @return whether the comparison holds for a value.
auto holds(const Condition& condition, double value) -> bool;

/// @return the condition as it is written in a scenario.
auto toString(const Condition& condition) -> std::string;

}
