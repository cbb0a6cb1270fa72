#pragma once

/// One difference between two configurations: the JSON path and both values.

#include "Configuration.h"

#include <string>
#include <vector>

namespace jayhold {

struct ConfigurationChange {
    /// JSON path. List elements that have a name are identified by it, as in `$.services[appraiser-llm]`.
    std::string path;
    /// The old value as JSON text; empty if it was absent.
    std::string before;
    /// The new value as JSON text; empty if it is absent.
    std::string after;
};

/// @return the differences between two configurations, in document order.
auto diffConfigurations(const Configuration& from, const Configuration& to) -> std::vector<ConfigurationChange>;

}
