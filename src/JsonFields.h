#pragma once

/// Reads fields of untrusted JSON objects. A field that is missing or has another type is reported by
/// the return value rather than by an exception.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

/// @return the object, or nothing if the text is not a JSON object.
inline auto parseObject(std::string_view text) -> std::optional<boost::json::object>
{
    boost::system::error_code code;
    auto value = boost::json::parse(text, code);
    if (code || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

/// @param number set if the field is a number that fits its type.
/// @return whether it was set.
template <typename Number>
auto readNumber(const boost::json::object& object, std::string_view key, Number& number) -> bool
{
    const auto* value = object.if_contains(key);
    if (!value)
        return false;
    boost::system::error_code code;
    const auto read = value->to_number<Number>(code);
    if (!code)
        number = read;
    return !code;
}

/// @param text set if the field is a string.
/// @return whether it was set.
inline auto readText(const boost::json::object& object, std::string_view key, std::string& text) -> bool
{
    const auto* value = object.if_contains(key);
    const auto* found = value ? value->if_string() : nullptr;
    if (found)
        text = *found;
    return found != nullptr;
}

/// Maximum bytes of a name in a message of another instance. Names of instances, zones, servers and customers are shorter;
/// a datagram could hold one of 64 KB, and names are kept.
inline constexpr std::size_t maxNameBytes = 256;

/// @return the name, or null if the value is not a string of at most maxNameBytes.
inline auto ifName(const boost::json::value& value) -> const boost::json::string*
{
    const auto* text = value.if_string();
    return text && text->size() <= maxNameBytes ? text : nullptr;
}

/// @param name set if the field is a name.
/// @return whether it was set.
inline auto readName(const boost::json::object& object, std::string_view key, std::string& name) -> bool
{
    const auto* value = object.if_contains(key);
    const auto* found = value ? ifName(*value) : nullptr;
    if (found)
        name = *found;
    return found != nullptr;
}

/// @param result set if the field is a boolean.
/// @return whether it was set.
inline auto readBoolean(const boost::json::object& object, std::string_view key, bool& result) -> bool
{
    const auto* value = object.if_contains(key);
    const auto* found = value ? value->if_bool() : nullptr;
    if (found)
        result = *found;
    return found != nullptr;
}

/// @return the nested object, or null if the field is not an object.
inline auto objectField(const boost::json::object& object, std::string_view key) -> const boost::json::object*
{
    const auto* value = object.if_contains(key);
    return value ? value->if_object() : nullptr;
}

/// @return the array, or null if the field is not an array.
inline auto arrayField(const boost::json::object& object, std::string_view key) -> const boost::json::array*
{
    const auto* value = object.if_contains(key);
    return value ? value->if_array() : nullptr;
}

}
