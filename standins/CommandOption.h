#pragma once

/// One long option of a program with one value.

#include "HttpEndpoint.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct CommandOption {
    std::string name;
    /// Placeholder for the value in the help text, such as "IP:PORT".
    std::string valueName;
    std::string help;
    /// Parses and stores the value.
    /// @return whether the value is valid.
    std::function<bool(std::string_view)> apply;
};

auto textOption(std::string name, std::string help, std::string& target) -> CommandOption;
/// A non-negative integer.
auto numberOption(std::string name, std::string help, std::int64_t& target) -> CommandOption;
auto decimalOption(std::string name, std::string help, double& target) -> CommandOption;
auto booleanOption(std::string name, std::string help, bool& target) -> CommandOption;
auto endpointOption(std::string name, std::string help, HttpEndpoint& target) -> CommandOption;
/// An endpoint that may be given several times; each use appends one.
auto endpointsOption(std::string name, std::string help, std::vector<HttpEndpoint>& target) -> CommandOption;

}
