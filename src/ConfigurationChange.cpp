#include "ConfigurationChange.h"

#include "JsonText.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

auto elementName(const json::value& element) -> std::string
{
    const auto* object = element.if_object();
    const auto* name = object ? object->if_contains("name") : nullptr;
    return name && name->is_string() ? std::string(name->get_string()) : std::string();
}

auto isNamedList(const json::value& value) -> bool
{
    const auto* array = value.if_array();
    if (!array)
        return false;
    for (const auto& element : *array) {
        if (elementName(element).empty())
            return false;
    }
    return true;
}

/// Converts a list of named elements to an object keyed by name, so that a different order is not a
/// change.
auto keyedByName(const json::array& array) -> json::object
{
    json::object object;
    for (const auto& element : array)
        object[elementName(element)] = element;
    return object;
}

auto valueText(const json::value& value) -> std::string
{
    if (value.is_object() || value.is_array())
        return json::serialize(value);
    auto text = prettyJson(value);
    text.pop_back();
    return text;
}

auto compare(std::vector<ConfigurationChange>& changes, const std::string& path, const json::value* from, const json::value* to) -> void;

auto compareMembers(std::vector<ConfigurationChange>& changes, const std::string& path, const json::object& from, const json::object& to, bool isList) -> void
{
    const auto memberPath = [&](std::string_view key) {
        return isList ? path + "[" + std::string(key) + "]" : path + "." + std::string(key);
    };
    for (const auto& member : from)
        compare(changes, memberPath(member.key()), &member.value(), to.if_contains(member.key()));
    for (const auto& member : to) {
        if (!from.contains(member.key()))
            compare(changes, memberPath(member.key()), nullptr, &member.value());
    }
}

auto compare(std::vector<ConfigurationChange>& changes, const std::string& path, const json::value* from, const json::value* to) -> void
{
    if (from && to && *from == *to)
        return;
    if (from && to && from->is_object() && to->is_object()) {
        compareMembers(changes, path, from->get_object(), to->get_object(), false);
        return;
    }
    if (from && to && isNamedList(*from) && isNamedList(*to)) {
        compareMembers(changes, path, keyedByName(from->get_array()), keyedByName(to->get_array()), true);
        return;
    }
    changes.push_back({ path, from ? valueText(*from) : std::string(), to ? valueText(*to) : std::string() });
}

}

auto diffConfigurations(const Configuration& from, const Configuration& to) -> std::vector<ConfigurationChange>
{
    std::vector<ConfigurationChange> changes;
    const auto before = toJson(from);
    const auto after = toJson(to);
    compare(changes, "$", &before, &after);
    return changes;
}

}
