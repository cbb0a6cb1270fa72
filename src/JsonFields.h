#pragma once

/// Reads fields of a JSON object that another party wrote: a field that is missing or of another type
/// is reported, not thrown.

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jayhold {

/// @return nothing where the text is not a JSON object.
inline auto parseObject(std::string_view text) -> std::optional<boost::json::object>
{
    boost::system::error_code code;
    auto value = boost::json::parse(text, code);
    if (code || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

/// @param number set where the field holds a number that fits its type.
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

/// @param text set where the field holds a string.
/// @return whether it was set.
inline auto readText(const boost::json::object& object, std::string_view key, std::string& text) -> bool
{
    const auto* value = object.if_contains(key);
    const auto* found = value ? value->if_string() : nullptr;
    if (found)
        text = *found;
    return found != nullptr;
}

/// @param truth set where the field holds a truth value.
/// @return whether it was set.
inline auto readBoolean(const boost::json::object& object, std::string_view key, bool& truth) -> bool
{
    const auto* value = object.if_contains(key);
    const auto* found = value ? value->if_bool() : nullptr;
    if (found)
        truth = *found;
    return found != nullptr;
}

/// @return the nested object, or null.
inline auto objectField(const boost::json::object& object, std::string_view key) -> const boost::json::object*
{
    const auto* value = object.if_contains(key);
    return value ? value->if_object() : nullptr;
}

/// @return the array, or null.
inline auto arrayField(const boost::json::object& object, std::string_view key) -> const boost::json::array*
{
    const auto* value = object.if_contains(key);
    return value ? value->if_array() : nullptr;
}

}
