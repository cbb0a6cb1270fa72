#include "CtlCommands.h"

#include "ConfigurationChange.h"
#include "FileError.h"
#include "JsonReader.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <ostream>

namespace jayhold {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::string_view configurationTarget = "/admin/v1/configuration";

/// Reads a configuration file and prints an error message if it is invalid.
/// @return the configuration, or nothing after an error.
auto loadConfiguration(const std::string& path, const CtlOutput& output) -> std::optional<Configuration>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Configuration>> {
            BOOST_LEAF_AUTO(text, readFile(path));
            BOOST_LEAF_AUTO(configuration, parseConfiguration(text));
            return std::optional(std::move(configuration));
        },
        [&](const ConfigError& error) {
            output.errors << path << ": " << describe(error) << '\n';
            return std::optional<Configuration>();
        },
        [&](const FileError& error) {
            output.errors << describe(error) << '\n';
            return std::optional<Configuration>();
        },
        [&] {
            output.errors << path << ": unexpected error\n";
            return std::optional<Configuration>();
        });
}

auto parseResponseBody(const std::string& body) -> std::optional<Configuration>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Configuration>> {
            BOOST_LEAF_AUTO(configuration, parseConfiguration(body));
            return std::optional(std::move(configuration));
        },
        [] { return std::optional<Configuration>(); });
}

auto fetchActiveConfiguration(const CtlOptions& options, AdminClient& client) -> HttpResult<HttpResponse>
{
    return client.callFirstReachable(options.entries, { "GET", std::string(configurationTarget), {}, {} });
}

auto printChanges(const std::vector<ConfigurationChange>& changes, bool asJson, std::ostream& stream) -> void
{
    if (asJson) {
        json::array array;
        for (const auto& change : changes)
            array.push_back({ { "path", change.path }, { "before", change.before }, { "after", change.after } });
        stream << json::serialize(array) << '\n';
        return;
    }
    for (const auto& change : changes) {
        stream << change.path << '\n';
        if (!change.before.empty())
            stream << "  - " << change.before << '\n';
        if (!change.after.empty())
            stream << "  + " << change.after << '\n';
    }
}

/// Prints the differences between the active configuration, which another operator has changed, and the
/// proposed one.
auto reportConflict(const Configuration& proposedConfiguration, const std::string& body, const CtlOptions& options, const CtlOutput& output) -> ExitCode
{
    boost::system::error_code code;
    const auto response = json::parse(body, code);
    const auto* object = code ? nullptr : response.if_object();
    const auto* current = object ? object->if_contains("configuration") : nullptr;
    const auto configuration = current ? parseResponseBody(json::serialize(*current)) : std::nullopt;
    if (!configuration) {
        output.errors << "conflict: another change was applied first: " << body << '\n';
        return ExitCode::Conflict;
    }
    output.errors << "conflict: version " << configuration->version << " is active; changes from it to the proposed configuration:\n";
    printChanges(diffConfigurations(*configuration, proposedConfiguration), options.printJson, output.result);
    return ExitCode::Conflict;
}

}

auto runCheck(const CtlOptions& options, const CtlOutput& output) -> ExitCode
{
    const auto configuration = loadConfiguration(options.arguments.front(), output);
    if (!configuration)
        return ExitCode::Failed;
    if (options.printJson)
        output.result << json::serialize(toJson(*configuration)) << '\n';
    else
        output.result << "version " << configuration->version << " is valid\n";
    return ExitCode::Success;
}

auto runApply(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode
{
    const auto next = loadConfiguration(options.arguments.front(), output);
    if (!next)
        return ExitCode::Failed;
    // By default the base is the version before that of the file, so that a change based on an older
    // configuration never silently reverts another operator's change.
    const auto base = options.baseVersion.value_or(next->version - 1);
    HttpRequest request { "PUT", std::string(configurationTarget), {}, json::serialize(toJson(*next)) };
    request.headers.push_back({ "If-Match", "\"" + std::to_string(base) + "\"" });
    request.headers.push_back({ "Content-Type", "application/json" });
    const auto response = client.callFirstReachable(options.entries, request);
    if (response.has_value() && response->status == 409)
        return reportConflict(*next, response->body, options, output);
    if (response.has_error() || response->status != 200)
        return reportFailure(response, output);
    if (options.printJson)
        output.result << response->body << '\n';
    else
        output.result << "version " << next->version << " is accepted\n";
    return ExitCode::Success;
}

auto runShow(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode
{
    const auto response = fetchActiveConfiguration(options, client);
    if (response.has_error() || response->status != 200)
        return reportFailure(response, output);
    const auto configuration = parseResponseBody(response->body);
    if (!configuration) {
        output.errors << "the response is not a configuration: " << response->body << '\n';
        return ExitCode::Failed;
    }
    if (options.printJson)
        output.result << json::serialize(toJson(*configuration)) << '\n';
    else
        output.result << printConfiguration(*configuration);
    return ExitCode::Success;
}

auto runDiff(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode
{
    const auto proposed = loadConfiguration(options.arguments.front(), output);
    if (!proposed)
        return ExitCode::Failed;
    const auto response = fetchActiveConfiguration(options, client);
    if (response.has_error() || response->status != 200)
        return reportFailure(response, output);
    const auto activeConfiguration = parseResponseBody(response->body);
    if (!activeConfiguration)
        return reportFailure(response, output);
    printChanges(diffConfigurations(*activeConfiguration, *proposed), options.printJson, output.result);
    return ExitCode::Success;
}

}
