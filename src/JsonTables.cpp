#include "JsonTables.h"

#include "TextTable.h"

#include <boost/json/array.hpp>
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

auto isObjectList(const json::value& value) -> bool
{
    const auto* array = value.if_array();
    return array && !array->empty() && std::ranges::all_of(*array, [](const json::value& item) { return item.is_object(); });
}

/// Adds the members that fit into one row: scalars, and the members of nested objects under the key
/// `outer.inner`. Nested lists of objects are omitted, because they are printed as separate tables.
auto appendFlattened(const json::object& object, const std::string& prefix, json::object& row) -> void
{
    for (const auto& member : object) {
        const auto key = prefix + std::string(member.key());
        if (member.value().is_object())
            appendFlattened(member.value().get_object(), key + ".", row);
        else if (!isObjectList(member.value()))
            row[key] = member.value();
    }
}

/// Builds a table from a list of objects, with one column for each key that occurs.
auto buildTable(const json::array& list) -> TextTable
{
    std::vector<json::object> rows(list.size());
    TextTable table;
    for (std::size_t index = 0; index < list.size(); ++index) {
        appendFlattened(list[index].get_object(), "", rows[index]);
        for (const auto& member : rows[index]) {
            if (std::ranges::find(table.header, std::string_view(member.key())) == table.header.end())
                table.header.emplace_back(member.key());
        }
    }
    for (const auto& source : rows) {
        auto& row = table.rows.emplace_back();
        for (const auto& key : table.header) {
            const auto* value = source.if_contains(key);
            row.push_back(value ? cellText(*value) : "-");
        }
    }
    return table;
}

/// Prints each list of an object as a table, followed by the lists inside its elements.
auto printTables(const json::object& object, const std::string& path, std::ostream& stream) -> void
{
    for (const auto& member : object) {
        if (!isObjectList(member.value()))
            continue;
        const auto title = path + std::string(member.key());
        const auto& list = member.value().get_array();
        stream << '\n'
               << title << '\n'
               << format(buildTable(list));
        for (const auto& item : list) {
            const auto* name = item.get_object().if_contains("name");
            printTables(item.get_object(), title + "[" + (name ? cellText(*name) : std::string()) + "].", stream);
        }
    }
}

}

auto printObject(const json::object& object, std::ostream& stream) -> void
{
    json::object summary;
    appendFlattened(object, "", summary);
    for (const auto& member : summary)
        stream << std::string_view(member.key()) << '=' << cellText(member.value()) << '\n';
    printTables(object, "", stream);
}

}
