#include "JsonReader.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

#include <cmath>

namespace jayhold {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

auto typeName(const json::value& value) -> std::string
{
    switch (value.kind()) {
    case json::kind::null:
        return "null";
    case json::kind::bool_:
        return "a boolean";
    case json::kind::int64:
    case json::kind::uint64:
    case json::kind::double_:
        return "a number";
    case json::kind::string:
        return "a string";
    case json::kind::array:
        return "an array";
    case json::kind::object:
        return "an object";
    }
    return "an unknown type";
}

auto startsWithDigit(const json::value& value) -> bool
{
    const auto* text = value.if_string();
    return text && !text->empty() && text->front() >= '0' && text->front() <= '9';
}

}

JsonReader::JsonReader(const json::object& object, std::string path)
    : m_object(&object)
    , m_path(std::move(path))
{
}

auto JsonReader::pathOf(std::string_view key) const -> std::string
{
    return m_path + "." + std::string(key);
}

auto JsonReader::error(std::string_view key, ConfigErrorCode code, std::string detail) const -> leaf::error_id
{
    return leaf::new_error(ConfigError { code, pathOf(key), std::move(detail) });
}

auto JsonReader::find(std::string_view key) -> const json::value*
{
    m_readKeys.emplace(key);
    return m_object->if_contains(key);
}

auto JsonReader::has(std::string_view key) -> bool
{
    return find(key) != nullptr;
}

auto JsonReader::isNull(std::string_view key) -> bool
{
    const auto* value = find(key);
    return value && value->is_null();
}

auto JsonReader::isString(std::string_view key) -> bool
{
    const auto* value = find(key);
    return value && value->is_string();
}

auto JsonReader::require(std::string_view key) -> leaf::result<const json::value*>
{
    const auto* value = find(key);
    if (!value)
        return error(key, ConfigErrorCode::MissingKey, "the key is required");
    return value;
}

auto JsonReader::string(std::string_view key) -> leaf::result<std::string>
{
    BOOST_LEAF_AUTO(value, require(key));
    const auto* text = value->if_string();
    if (!text)
        return error(key, ConfigErrorCode::WrongType, "expected a string, found " + typeName(*value));
    if (text->empty())
        return error(key, ConfigErrorCode::OutOfRange, "the string is empty");
    return std::string(*text);
}

auto JsonReader::string(std::string_view key, std::string_view fallback) -> leaf::result<std::string>
{
    if (!has(key))
        return std::string(fallback);
    return string(key);
}

auto JsonReader::number(std::string_view key, NumberRange range) -> leaf::result<double>
{
    BOOST_LEAF_AUTO(value, require(key));
    if (startsWithDigit(*value))
        return error(key, ConfigErrorCode::WrongUnit, "expected a bare number; the unit is part of the key's name");
    if (!value->is_number())
        return error(key, ConfigErrorCode::WrongType, "expected a number, found " + typeName(*value));
    const auto number = value->to_number<double>();
    if (!(number >= range.low && number <= range.high))
        return error(key, ConfigErrorCode::OutOfRange, "expected a number from " + std::to_string(range.low) + " to " + std::to_string(range.high));
    return number;
}

auto JsonReader::number(std::string_view key, NumberRange range, double fallback) -> leaf::result<double>
{
    if (!has(key))
        return fallback;
    return number(key, range);
}

auto JsonReader::integer(std::string_view key, NumberRange range) -> leaf::result<std::int64_t>
{
    BOOST_LEAF_AUTO(value, number(key, range));
    if (std::floor(value) != value)
        return error(key, ConfigErrorCode::WrongType, "expected a whole number");
    return static_cast<std::int64_t>(value);
}

auto JsonReader::integer(std::string_view key, NumberRange range, std::int64_t fallback) -> leaf::result<std::int64_t>
{
    if (!has(key))
        return fallback;
    return integer(key, range);
}

auto JsonReader::boolean(std::string_view key, bool fallback) -> leaf::result<bool>
{
    const auto* value = find(key);
    if (!value)
        return fallback;
    if (!value->is_bool())
        return error(key, ConfigErrorCode::WrongType, "expected true or false, found " + typeName(*value));
    return value->get_bool();
}

auto JsonReader::strings(std::string_view key) -> leaf::result<std::vector<std::string>>
{
    std::vector<std::string> result;
    const auto* value = find(key);
    if (!value)
        return result;
    const auto* array = value->if_array();
    if (!array)
        return error(key, ConfigErrorCode::WrongType, "expected an array, found " + typeName(*value));
    for (const auto& item : *array) {
        if (!item.is_string())
            return error(key, ConfigErrorCode::WrongType, "expected an array of strings");
        result.emplace_back(item.get_string());
    }
    return result;
}

auto JsonReader::objects(std::string_view key) -> leaf::result<std::vector<JsonReader>>
{
    std::vector<JsonReader> result;
    const auto* value = find(key);
    if (!value)
        return result;
    const auto* array = value->if_array();
    if (!array)
        return error(key, ConfigErrorCode::WrongType, "expected an array, found " + typeName(*value));
    for (std::size_t index = 0; index < array->size(); ++index) {
        const auto* item = (*array)[index].if_object();
        auto itemPath = pathOf(key) + "[" + std::to_string(index) + "]";
        if (!item)
            return leaf::new_error(ConfigError { ConfigErrorCode::WrongType, itemPath, "expected an object" });
        result.emplace_back(*item, std::move(itemPath));
    }
    return result;
}

auto JsonReader::object(std::string_view key) -> leaf::result<JsonReader>
{
    BOOST_LEAF_AUTO(value, require(key));
    const auto* nested = value->if_object();
    if (!nested)
        return error(key, ConfigErrorCode::WrongType, "expected an object, found " + typeName(*value));
    return JsonReader(*nested, pathOf(key));
}

auto JsonReader::finish() const -> leaf::result<void>
{
    for (const auto& item : *m_object) {
        if (!m_readKeys.contains(std::string_view(item.key())))
            return error(item.key(), ConfigErrorCode::UnknownKey, "the key is not known here");
    }
    return {};
}

auto parseJsonObject(std::string_view text) -> leaf::result<json::value>
{
    boost::system::error_code code;
    auto value = json::parse(text, code);
    if (code)
        return leaf::new_error(ConfigError { ConfigErrorCode::MalformedJson, "$", code.message() });
    if (!value.is_object())
        return leaf::new_error(ConfigError { ConfigErrorCode::WrongType, "$", "expected an object, found " + typeName(value) });
    return value;
}

}
