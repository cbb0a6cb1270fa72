#include "CtlCommands.h"

#include "FileError.h"
#include "JsonFields.h"
#include "JsonTables.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <ostream>

namespace jayhold {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::string_view placementTarget = "/admin/v1/placement";

/// @return the JSON object in a file, or nothing after an error message.
auto readQueryFile(const std::string& path, const CtlOutput& output) -> std::optional<json::object>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<json::object>> {
            BOOST_LEAF_AUTO(text, readFile(path));
            auto object = parseObject(text);
            if (!object)
                output.errors << path << ": not a JSON object\n";
            return object;
        },
        [&](const FileError& error) {
            output.errors << describe(error) << '\n';
            return std::optional<json::object>();
        },
        [&] {
            output.errors << path << ": unexpected error\n";
            return std::optional<json::object>();
        });
}

/// @return the query of the file, if one is named, with the fields that the options give.
auto buildQuery(const CtlOptions& options, const CtlOutput& output) -> std::optional<json::object>
{
    auto query = options.arguments.empty() ? std::optional(json::object()) : readQueryFile(options.arguments.front(), output);
    if (!query)
        return std::nullopt;
    for (const auto& [key, text] : options.placement.texts)
        (*query)[key] = text;
    for (const auto& [key, number] : options.placement.numbers)
        (*query)[key] = number;
    if (options.placement.parts.empty())
        return query;
    json::array parts;
    for (const auto& [id, tokens] : options.placement.parts)
        parts.push_back(json::object { { "id", id }, { "tokens", tokens } });
    (*query)["prompt_parts"] = std::move(parts);
    return query;
}

auto textOf(const json::object& object, std::string_view key) -> std::string
{
    std::string text;
    readText(object, key, text);
    return text;
}

auto millisecondsOf(const json::object& object, std::string_view key) -> std::string
{
    double milliseconds = 0;
    readNumber(object, key, milliseconds);
    return std::to_string(static_cast<std::int64_t>(milliseconds)) + " ms";
}

/// @return one sentence for the decision.
auto describeDecision(const json::object& decision) -> std::string
{
    auto action = textOf(decision, "action");
    if (action == "prefill_and_decode")
        return "prefill at " + textOf(decision, "prefill") + " and decode at " + textOf(decision, "decode") + ", whose slot is " + textOf(decision, "decode_slot");
    if (action == "decode_only")
        return "decode only at " + textOf(decision, "decode");
    if (action == "call")
        return "call " + textOf(decision, "server");
    if (action == "wait")
        return "wait for " + textOf(decision, "waits_for") + ", about " + millisecondsOf(decision, "expected_wait_ms");
    if (action == "refuse")
        return "refuse: " + textOf(decision, "reason") + ", to return after " + millisecondsOf(decision, "retry_after_ms");
    return action;
}

auto printPlacement(const json::object& report, std::ostream& stream) -> void
{
    if (const auto* decision = objectField(report, "decision"))
        stream << describeDecision(*decision) << '\n';
    printObject(report, stream);
}

}

auto runPlacement(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode
{
    const auto query = buildQuery(options, output);
    if (!query)
        return ExitCode::Failed;
    const auto response = client.callFirstReachable(options.entries, { "POST", std::string(placementTarget), {}, json::serialize(*query) });
    if (response.has_error() || response->status != 200)
        return reportFailure(response, output);
    const auto report = options.printJson ? std::nullopt : parseObject(response->body);
    if (report)
        printPlacement(*report, output.result);
    else
        output.result << response->body << '\n';
    return ExitCode::Success;
}

}
