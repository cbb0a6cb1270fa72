#pragma once

/// The command line of jayholdctl.

#include "HttpEndpoint.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jayhold {

/// The description of a request, as the options give it; keys as in the query.
struct PlacementOptions {
    std::vector<std::pair<std::string, std::string>> texts;
    std::vector<std::pair<std::string, std::int64_t>> numbers;
    /// Identifiers and sizes in tokens of the parts of the prompt.
    std::vector<std::pair<std::string, std::int64_t>> parts;
};

struct CtlOptions {
    std::string command;
    std::vector<std::string> arguments;
    /// Administration addresses of entry instances. Commands use the first one that can be reached;
    /// the timeline command reads all of them.
    std::vector<HttpEndpoint> entries;
    std::string operatorKey;
    bool printJson = false;
    std::optional<std::int64_t> baseVersion;
    /// Log files to read; standard input if the list is empty.
    std::vector<std::string> logFiles;
    std::optional<std::string> request;
    std::optional<std::string> configurationVersion;
    PlacementOptions placement {};
};

/// Result for a command line that requests help or the version; the text goes to standard output.
struct CtlInformation {
    std::string text;
};

/// Result for an invalid command line; the text goes to standard error.
struct CtlUsageError {
    std::string text;
};

using CtlCommandLine = std::variant<CtlOptions, CtlInformation, CtlUsageError>;

/// Parses the command line and the environment (JAYHOLD_ENTRY, JAYHOLD_OPERATOR_KEY). The key comes
/// from a file or the environment only, because other users of the machine can see a command line.
auto parseCtlCommandLine(std::span<char*> arguments) -> CtlCommandLine;

}
