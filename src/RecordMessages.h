#pragma once

/// JSON forms of the record operations and decisions that peers send each other.

#include "RecordDecision.h"
#include "RecordPartition.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace jayhold {

auto operationToJson(const RecordOperation& operation) -> boost::json::value;

/// @param route the last part of the target: `begin`, `finish` or `abandon`.
/// @return the operation, without ticket and deadline; nothing where the document is faulty.
auto operationFromJson(std::string_view route, const boost::json::value& value) -> std::optional<RecordOperation>;

/// @return the last part of the target for an operation.
auto routeOf(const RecordOperation& operation) -> std::string_view;

/// @param reply ReplyBegin or ReplyStored.
auto replyToJson(const RecordAction& reply) -> boost::json::value;
auto replyFromJson(const boost::json::value& value) -> std::optional<RecordAction>;

}
