#pragma once

/// JSON representation of the record operations and replies that peers exchange.

#include "RecordDecision.h"
#include "RecordPartition.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace jayhold {

auto operationToJson(const RecordOperation& operation) -> boost::json::value;

/// @param route last segment of the request target: `begin`, `finish` or `abandon`.
/// @return the operation without identifier and deadline, or nothing if the document is invalid.
auto operationFromJson(std::string_view route, const boost::json::value& value) -> std::optional<RecordOperation>;

/// @return the last segment of the request target for an operation.
auto routeOf(const RecordOperation& operation) -> std::string_view;

/// @param reply ReplyBegin or ReplyStored.
auto replyToJson(const RecordAction& reply) -> boost::json::value;
auto replyFromJson(const boost::json::value& value) -> std::optional<RecordAction>;

}
