#pragma once

/// The command line of jayholdctl.

#include "HttpEndpoint.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace jayhold {

struct CtlOptions {
    std::string command;
    std::vector<std::string> arguments;
    /// Administration addresses of entry instances; the first that answers is used, the timeline
    /// reads all.
    std::vector<HttpEndpoint> entries;
    std::string operatorKey;
    bool printJson = false;
    std::optional<std::int64_t> baseVersion;
    /// Logs to read; standard input where none is named.
    std::vector<std::string> logFiles;
    std::optional<std::string> request;
    std::optional<std::string> configurationVersion;
};

/// The command line asks for help or the version; the text goes to standard output.
struct CtlInformation {
    std::string text;
};

/// The command line is faulty; the text goes to standard error.
struct CtlUsageError {
    std::string text;
};

using CtlCommandLine = std::variant<CtlOptions, CtlInformation, CtlUsageError>;

/// Reads the command line and the environment (JAYHOLD_ENTRY, JAYHOLD_OPERATOR_KEY). The key is
/// taken from a file or the environment only, because other users can see a command line.
auto parseCtlCommandLine(std::span<char*> arguments) -> CtlCommandLine;

}
