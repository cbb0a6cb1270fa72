#pragma once

/// A condition on a metric in a scenario, such as `held = 0` or `decodes of d1 >= 3`.

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
    /// The process that the metric belongs to; empty for a metric of the whole scenario.
    std::string process;
    Comparison comparison = Comparison::Equal;
    double number = 0;
    /// Timeout for the condition to become true; absent if it must hold immediately.
    std::optional<Duration> within;
};

/// @return whether the value satisfies the condition.
auto holds(const Condition& condition, double value) -> bool;

/// @return the condition in the syntax of a scenario file, without its timeout.
auto toString(const Condition& condition) -> std::string;

}
