#pragma once

/// Prints JSON objects as text, for command-line programs.

#include <boost/json/object.hpp>

#include <iosfwd>

namespace jayhold {

/// Prints the scalars of an object and of the objects in it as lines `key=value`, and then each list of objects as a table.
auto printObject(const boost::json::object& object, std::ostream& stream) -> void;

}
