#pragma once

/// Formats JSON values for people: indented by two spaces, with keys in their original order, so that
/// configurations can be read and compared line by line.

#include <boost/json/value.hpp>

#include <string>

namespace jayhold {

/// @return the value as indented JSON text with a final newline.
auto prettyJson(const boost::json::value& value) -> std::string;

}
