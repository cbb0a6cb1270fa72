#pragma once

/// The report of `GET /admin/v1/status`.

#include "ClusterNode.h"
#include "EntryContext.h"
#include "ServiceTable.h"

#include <boost/json/object.hpp>

namespace jayhold {

/// @return versions, members, backend servers with state and load, and summaries of the shards.
auto statusReport(const EntryContext& context, const ServiceTable& services, const ClusterNode& node) -> boost::json::object;

/// @return one page of the event log, oldest first.
/// @param after sequence number of the last event that the caller has.
auto eventPage(const EventLog& log, std::uint64_t after) -> boost::json::object;

}
