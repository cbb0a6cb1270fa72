#pragma once

/// Parses the scenario language; docs/scenarios.md describes it.

#include "ScenarioError.h"
#include "Statement.h"

#include <boost/leaf/result.hpp>

#include <string_view>

namespace jayhold {

/// @return the statements in order, or ScenarioError for the first syntax error.
auto parseScenario(std::string_view text) -> boost::leaf::result<std::vector<Statement>>;

}
