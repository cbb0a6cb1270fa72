#pragma once

/// The JSON form of logged events on the administration API.

#include "LoggedEvent.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <optional>

namespace jayhold {

/// @return `{sequence, time, instance, event, fields: {key: value}}`.
auto toJson(const LoggedEvent& event) -> boost::json::object;

/// @return the event, or nothing if the value is malformed.
auto loggedEventFromJson(const boost::json::value& value) -> std::optional<LoggedEvent>;

}
