#pragma once

/// Prints JSON values for people: two spaces of indent, keys in their given order, so that a
/// configuration can be read and compared line by line.

#include <boost/json/value.hpp>

#include <string>

namespace jayhold {

/// @return the value as indented JSON text with a final newline.
auto prettyJson(const boost::json::value& value) -> std::string;

}
