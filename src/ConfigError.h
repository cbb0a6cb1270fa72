#pragma once

/// A user error in settings or in a configuration, with the JSON path of the invalid value.

#include "ConfigErrorCode.h"

#include <string>

namespace jayhold {

struct ConfigError {
    ConfigErrorCode code;
    /// JSON path of the invalid value, such as `$.services[0].pools[1].availability_zone`.
    std::string path;
    /// What was expected or found, for the operator.
    std::string detail;
};

/// @return one line for the operator: code, path and detail.
auto describe(const ConfigError& error) -> std::string;

}
