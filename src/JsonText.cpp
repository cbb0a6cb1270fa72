#include "JsonText.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr int indentWidth = 2;

auto isScalar(const json::value& value) -> bool
{
    return !value.is_object() && !value.is_array();
}

auto scalarText(const json::value& value) -> std::string
{
    const auto* number = value.if_double();
    if (!number)
        return json::serialize(value);
    // Boost.JSON prints 0.75 as 7.5E-1, which operators find hard to read.
    std::array<char, 32> buffer {};
    const auto [end, code] = std::to_chars(buffer.begin(), buffer.end(), *number);
    return code == std::errc {} ? std::string(buffer.begin(), end) : json::serialize(value);
}

auto containsOnlyScalars(const json::array& array) -> bool
{
    for (const auto& item : array) {
        if (!isScalar(item))
            return false;
    }
    return true;
}

auto startLine(std::string& text, int depth) -> void
{
    text += '\n';
    text.append(static_cast<std::size_t>(depth) * indentWidth, ' ');
}

auto print(std::string& text, const json::value& value, int depth) -> void
{
    if (isScalar(value)) {
        text += scalarText(value);
        return;
    }
    if (value.is_array() && containsOnlyScalars(value.get_array())) {
        text += json::serialize(value);
        return;
    }
    const auto isArray = value.is_array();
    text += isArray ? '[' : '{';
    auto first = true;
    const auto separate = [&] {
        if (!first)
            text += ',';
        first = false;
        startLine(text, depth + 1);
    };
    if (isArray) {
        for (const auto& item : value.get_array()) {
            separate();
            print(text, item, depth + 1);
        }
    } else {
        for (const auto& item : value.get_object()) {
            separate();
            text += json::serialize(json::string(item.key())) + ": ";
            print(text, item.value(), depth + 1);
        }
    }
    if (!first)
        startLine(text, depth);
    text += isArray ? ']' : '}';
}

}

auto prettyJson(const json::value& value) -> std::string
{
    std::string text;
    print(text, value, 0);
    text += '\n';
    return text;
}

}
