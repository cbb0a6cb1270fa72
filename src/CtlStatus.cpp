#include "CtlCommands.h"

#include "TextTable.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <ostream>

namespace jayhold {

namespace json = boost::json;

namespace {

auto cellText(const json::value& value) -> std::string
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

/// Lays out a list of objects with one column for each key that occurs.
auto tableOf(const json::array& list) -> TextTable
{
    TextTable table;
    for (const auto& item : list) {
        for (const auto& member : item.get_object()) {
            if (std::ranges::find(table.header, std::string_view(member.key())) == table.header.end())
                table.header.emplace_back(member.key());
        }
    }
    for (const auto& item : list) {
        auto& row = table.rows.emplace_back();
        for (const auto& key : table.header) {
            const auto* value = item.get_object().if_contains(key);
            row.push_back(value ? cellText(*value) : "-");
        }
    }
    return table;
}

auto isObjectList(const json::value& value) -> bool
{
    const auto* array = value.if_array();
    return array && !array->empty() && std::ranges::all_of(*array, [](const json::value& item) { return item.is_object(); });
}

auto printStatus(const json::object& status, std::ostream& stream) -> void
{
    for (const auto& member : status) {
        if (!isObjectList(member.value()))
            stream << std::string_view(member.key()) << '=' << cellText(member.value()) << '\n';
    }
    for (const auto& member : status) {
        if (isObjectList(member.value()))
            stream << '\n'
                   << std::string_view(member.key()) << '\n'
                   << format(tableOf(member.value().get_array()));
    }
}

}

auto runStatus(const CtlOptions& options, AdminClient& client, const CtlOutput& output) -> ExitCode
{
    const auto answer = client.callFirst(options.entries, { "GET", "/admin/v1/status", {}, {} });
    if (answer.has_error() || answer->status != 200)
        return reportFailure(answer, output);
    boost::system::error_code code;
    const auto status = json::parse(answer->body, code);
    if (options.printJson || code || !status.is_object())
        output.result << answer->body << '\n';
    else
        printStatus(status.get_object(), output.result);
    return ExitCode::Success;
}

}
