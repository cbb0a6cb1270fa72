#pragma once

/// One difference between two configurations, for operators: the JSON path with both values.

#include "Configuration.h"

#include <string>
#include <vector>

namespace jayhold {

struct ConfigurationChange {
    /// JSON path; list elements with a name are shown by it, as in `$.services[appraiser-llm]`.
    std::string path;
    /// The value before as JSON text; empty where it was absent.
    std::string before;
    /// The value after as JSON text; empty where it is absent.
    std::string after;
};

/// @return the differences from one configuration to another, in the order of the document.
auto diffConfigurations(const Configuration& from, const Configuration& to) -> std::vector<ConfigurationChange>;

}
