#include "Condition.h"

#include <sstream>

namespace jayhold {

namespace {

auto symbol(Comparison comparison) -> std::string_view
{
    switch (comparison) {
    case Comparison::Equal:
        return "=";
    case Comparison::NotEqual:
        return "!=";
    case Comparison::Less:
        return "<";
    case Comparison::LessOrEqual:
        return "<=";
    case Comparison::Greater:
        return ">";
    case Comparison::GreaterOrEqual:
        return ">=";
    }
    return "?";
}

}

auto holds(const Condition& condition, double value) -> bool
{
    switch (condition.comparison) {
    case Comparison::Equal:
        return value == condition.number;
    case Comparison::NotEqual:
        return value != condition.number;
    case Comparison::Less:
        return value < condition.number;
    case Comparison::LessOrEqual:
        return value <= condition.number;
    case Comparison::Greater:
        return value > condition.number;
    case Comparison::GreaterOrEqual:
        return value >= condition.number;
    }
    return false;
}

auto toString(const Condition& condition) -> std::string
{
    std::ostringstream text;
    text << condition.metric;
    if (!condition.process.empty())
        text << " of " << condition.process;
    text << ' ' << symbol(condition.comparison) << ' ' << condition.number;
    return text.str();
}

}
