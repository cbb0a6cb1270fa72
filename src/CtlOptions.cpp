#include "CtlOptions.h"

#include "FileError.h"
#include "Version.h"

#include <boost/leaf/handle_errors.hpp>

#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>

namespace jayhold {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view helpText = R"(usage: jayholdctl [options] COMMAND [arguments]

Commands
  check FILE       check a configuration; nothing is changed
  apply FILE       activate a configuration if the active one is its base version
  show             print the active configuration
  diff FILE        compare a configuration with the active one
  status           instances, active versions and backend servers
  placement [FILE] show where a request would be placed now, and why; it is not sent
  drain            shut the addressed instance down gracefully
  timeline         merge the event logs of all addressed instances in causal order
  explain ID       print the history of a request from the logs of all instances, and its cause
  hash-key         read a key from standard input and print its SHA-256 digest

Options
  -e, --entry IP:PORT     administration address of an entry instance; repeat for several
                          (default: JAYHOLD_ENTRY, separated by commas)
  -k, --key-file FILE     file with the operator's key (default: JAYHOLD_OPERATOR_KEY)
  -b, --base VERSION      apply: version the change is based on (default: the file's version minus 1)
  -l, --logs FILE...      explain: log files (default: standard input)
  -r, --request ID        timeline: only this request
  -c, --config VERSION    timeline: only this configuration version
  -j, --json              print JSON
placement: the request, also as a JSON object in FILE, whose fields the options replace
  --host, --path          route of the request, or
  --service, --kind       service, and kind if it is not that of the route or the first one
  --customer              name of the customer
  --prompt-tokens, --max-output-tokens, --expected-output-tokens
  --part ID=TOKENS        part of the prompt; repeat for several, in order
  --deadline-ms, --request-id
  -h, --help              print this text
  -V, --version           print the version

FILE may be - for standard input.
Exit codes: 0 success, 1 failed, 2 usage, 3 conflict with another change, 4 unreachable.
)";

/// Options without a letter.
constexpr int textOption = 256;
constexpr int numberOption = 257;
constexpr int partOption = 258;

constexpr std::array<option, 21> longOptions { {
    { "host", required_argument, nullptr, textOption },
    { "path", required_argument, nullptr, textOption },
    { "service", required_argument, nullptr, textOption },
    { "kind", required_argument, nullptr, textOption },
    { "customer", required_argument, nullptr, textOption },
    { "request-id", required_argument, nullptr, textOption },
    { "prompt-tokens", required_argument, nullptr, numberOption },
    { "max-output-tokens", required_argument, nullptr, numberOption },
    { "expected-output-tokens", required_argument, nullptr, numberOption },
    { "deadline-ms", required_argument, nullptr, numberOption },
    { "part", required_argument, nullptr, partOption },
    { "entry", required_argument, nullptr, 'e' },
    { "key-file", required_argument, nullptr, 'k' },
    { "base", required_argument, nullptr, 'b' },
    { "logs", required_argument, nullptr, 'l' },
    { "request", required_argument, nullptr, 'r' },
    { "config", required_argument, nullptr, 'c' },
    { "json", no_argument, nullptr, 'j' },
    { "help", no_argument, nullptr, 'h' },
    { "version", no_argument, nullptr, 'V' },
    { nullptr, 0, nullptr, 0 },
} };

struct CommandSpec {
    std::string_view name;
    std::size_t argumentCount;
    bool needsEntry;
    bool acceptsMoreFiles = false;
    bool isFileOptional = false;
};

constexpr std::array<CommandSpec, 10> commands { {
    { "check", 1, false },
    { "apply", 1, true },
    { "show", 0, true },
    { "diff", 1, true },
    { "status", 0, true },
    { "placement", 1, true, false, true },
    { "drain", 0, true },
    { "timeline", 0, true },
    { "explain", 1, false, true },
    { "hash-key", 0, false },
} };

auto usageError(std::string_view message) -> CtlUsageError
{
    return { "jayholdctl: " + std::string(message) + "\nTry 'jayholdctl --help'.\n" };
}

auto addEntries(CtlOptions& options, std::string_view list) -> bool
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        const auto endpoint = parseHttpEndpoint(list.substr(0, comma));
        if (!endpoint)
            return false;
        options.entries.push_back(*endpoint);
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return true;
}

auto parseWholeNumber(std::string_view text) -> std::optional<std::int64_t>
{
    std::int64_t number = 0;
    const auto [rest, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc {} || rest != text.data() + text.size() || number < 0)
        return std::nullopt;
    return number;
}

auto readKeyFile(const std::string& path) -> std::optional<std::string>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<std::string>> {
            BOOST_LEAF_AUTO(text, readFile(path));
            const auto end = text.find_last_not_of("\r\n");
            return std::optional<std::string>(text.substr(0, end == std::string::npos ? 0 : end + 1));
        },
        [] { return std::optional<std::string>(); });
}

auto readEnvironment(CtlOptions& options) -> std::optional<CtlUsageError>
{
    const auto* entries = std::getenv("JAYHOLD_ENTRY");
    if (options.entries.empty() && entries && !addEntries(options, entries))
        return usageError("JAYHOLD_ENTRY is not a list of IP:PORT addresses");
    const auto* key = std::getenv("JAYHOLD_OPERATOR_KEY");
    if (options.operatorKey.empty() && key)
        options.operatorKey = key;
    return std::nullopt;
}

auto argumentError(const CommandSpec& spec) -> std::string_view
{
    if (spec.acceptsMoreFiles)
        return " takes a request's identifier";
    return spec.argumentCount == 1 ? " takes one file" : " takes no argument";
}

auto checkCommand(const CtlOptions& options) -> std::optional<CtlUsageError>
{
    for (const auto& spec : commands) {
        if (spec.name != options.command)
            continue;
        const auto isTooMany = options.arguments.size() > spec.argumentCount && !spec.acceptsMoreFiles;
        const auto isTooFew = options.arguments.size() < spec.argumentCount && !spec.isFileOptional;
        if (isTooFew || isTooMany)
            return usageError(options.command + std::string(argumentError(spec)));
        if (spec.needsEntry && options.entries.empty())
            return usageError("no entry instance given; use --entry or JAYHOLD_ENTRY");
        return std::nullopt;
    }
    return usageError(options.command.empty() ? "no command given" : "unknown command " + options.command);
}

/// @return the key of a long option in a query.
auto queryKey(std::string_view name) -> std::string
{
    std::string key(name);
    std::ranges::replace(key, '-', '_');
    return key;
}

/// @param name name of the long option.
auto applyPlacementOption(PlacementOptions& placement, int option, std::string_view name, std::string_view argument) -> std::optional<CtlUsageError>
{
    if (option == textOption) {
        placement.texts.emplace_back(queryKey(name), argument);
        return std::nullopt;
    }
    const auto separator = option == partOption ? argument.rfind('=') : 0;
    const auto number = separator == std::string_view::npos ? std::nullopt : parseWholeNumber(option == partOption ? argument.substr(separator + 1) : argument);
    if (!number)
        return usageError("--" + std::string(name) + (option == partOption ? " takes ID=TOKENS: " : " takes a whole number: ") + std::string(argument));
    if (option == partOption)
        placement.parts.emplace_back(argument.substr(0, separator), *number);
    else
        placement.numbers.emplace_back(queryKey(name), *number);
    return std::nullopt;
}

auto applyOption(CtlOptions& options, int option, const char* argument) -> std::optional<CtlUsageError>
{
    switch (option) {
    case 'e':
        if (!addEntries(options, argument))
            return usageError("not an IP:PORT address: " + std::string(argument));
        return std::nullopt;
    case 'k':
        if (const auto key = readKeyFile(argument))
            options.operatorKey = *key;
        else
            return usageError("the key file can't be read: " + std::string(argument));
        return std::nullopt;
    case 'b':
        options.baseVersion = parseWholeNumber(argument);
        if (!options.baseVersion)
            return usageError("not a version: " + std::string(argument));
        return std::nullopt;
    case 'l':
        options.logFiles.emplace_back(argument);
        return std::nullopt;
    case 'r':
        options.request = argument;
        return std::nullopt;
    case 'c':
        options.configurationVersion = argument;
        return std::nullopt;
    case 'j':
        options.printJson = true;
        return std::nullopt;
    default:
        return usageError("unknown option or missing argument");
    }
}

}

auto parseCtlCommandLine(std::span<char*> arguments) -> CtlCommandLine
{
    CtlOptions options;
    optind = 0;
    opterr = 0;
    const auto count = static_cast<int>(arguments.size());
    while (true) {
        int index = 0;
        const auto option = getopt_long(count, arguments.data(), "e:k:b:l:r:c:jhV", longOptions.data(), &index);
        if (option == -1)
            break;
        if (option == 'h')
            return CtlInformation { std::string(helpText) };
        if (option == 'V')
            return CtlInformation { "jayholdctl " + std::string(version()) + "\n" };
        const auto isPlacement = option >= textOption && option <= partOption;
        if (auto error = isPlacement ? applyPlacementOption(options.placement, option, longOptions.at(static_cast<std::size_t>(index)).name, optarg) : applyOption(options, option, optarg))
            return *error;
    }
    const auto rest = arguments.subspan(static_cast<std::size_t>(optind));
    if (!rest.empty())
        options.command = rest.front();
    for (std::size_t index = 1; index < rest.size(); ++index)
        options.arguments.emplace_back(rest[index]);
    if (auto error = readEnvironment(options))
        return *error;
    if (auto error = checkCommand(options))
        return *error;
    return options;
}

}
