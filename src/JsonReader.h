#pragma once

/// Reads typed values from a JSON object and reports every error as a ConfigError with the JSON
/// path. finish() reports keys that no call has read, so that a misspelt key is never ignored.

#include "ConfigError.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

/// An inclusive range of accepted numbers.
struct NumberRange {
    double low;
    double high;
};

class JsonReader {
public:
    /// @param object the object to read; it must outlive the reader.
    /// @param path the JSON path of the object.
    JsonReader(const boost::json::object& object, std::string path);

    /// @return a non-empty string, or ConfigError.
    auto string(std::string_view key) -> boost::leaf::result<std::string>;
    /// @return the string, or the fallback if the key is absent.
    auto string(std::string_view key, std::string_view fallback) -> boost::leaf::result<std::string>;
    /// @return a whole number within the range, or ConfigError. A number given as a string with a
    /// unit ("5s") is a WrongUnit error.
    auto integer(std::string_view key, NumberRange range) -> boost::leaf::result<std::int64_t>;
    /// @return the number, or the fallback if the key is absent.
    auto integer(std::string_view key, NumberRange range, std::int64_t fallback) -> boost::leaf::result<std::int64_t>;
    /// @return a number within the range, or ConfigError.
    auto number(std::string_view key, NumberRange range) -> boost::leaf::result<double>;
    /// @return the number, or the fallback if the key is absent.
    auto number(std::string_view key, NumberRange range, double fallback) -> boost::leaf::result<double>;
    /// @return the boolean, or the fallback if the key is absent.
    auto boolean(std::string_view key, bool fallback) -> boost::leaf::result<bool>;
    /// @return the strings of an array, or an empty list if the key is absent.
    auto strings(std::string_view key) -> boost::leaf::result<std::vector<std::string>>;
    /// @return a reader for each object of an array; empty if the key is absent.
    auto objects(std::string_view key) -> boost::leaf::result<std::vector<JsonReader>>;
    /// @return a reader of a nested object, or ConfigError.
    auto object(std::string_view key) -> boost::leaf::result<JsonReader>;
    /// @return whether the key is present; marks it as read.
    auto has(std::string_view key) -> bool;
    /// @return whether the key is present with the value null; marks it as read.
    auto isNull(std::string_view key) -> bool;
    /// @return whether the key is present with a string; marks it as read.
    auto isString(std::string_view key) -> bool;
    /// Checks that every key of the object has been read.
    /// @return success, or a ConfigError with UnknownKey for the first key that has not.
    auto finish() const -> boost::leaf::result<void>;

    /// @return the JSON path of a key of this object.
    auto pathOf(std::string_view key) const -> std::string;
    auto path() const -> const std::string& { return m_path; }

private:
    auto find(std::string_view key) -> const boost::json::value*;
    auto require(std::string_view key) -> boost::leaf::result<const boost::json::value*>;
    auto error(std::string_view key, ConfigErrorCode code, std::string detail) const -> boost::leaf::error_id;

    const boost::json::object* m_object;
    std::string m_path;
    std::set<std::string, std::less<>> m_readKeys;
};

/// Parses a text whose root is a JSON object.
/// @return the parsed value, or ConfigError with MalformedJson or WrongType at `$`.
auto parseJsonObject(std::string_view text) -> boost::leaf::result<boost::json::value>;

}
