#pragma once

/// Parses the command line of the stand-ins and tools: long options with one value each, and
/// --help and --version.

#include "CommandOption.h"
#include "ExitCode.h"

#include <optional>
#include <span>

namespace jayhold {

/// Applies the options of a command line; prints help, version or a usage error if needed.
/// @param purpose one line for --help.
/// @return the exit code, or nothing if the program should continue.
auto parseCommandLine(std::span<char*> arguments, std::string_view purpose, std::span<const CommandOption> options) -> std::optional<ExitCode>;

}
