#pragma once

/// The response bodies of `GET /admin/v1/status` and `GET /admin/v1/events`.

#include "ClusterNode.h"
#include "EntryContext.h"
#include "ServiceTable.h"

#include <boost/json/object.hpp>

namespace jayhold {

/// @return the configuration version, the members, the backend servers with state and load, and the
/// summaries of the shards.
auto statusReport(const EntryContext& context, const ServiceTable& services, const ClusterNode& node) -> boost::json::object;

/// @return one page of the event log, oldest first.
/// @param after sequence number of the last event that the client already has; 0 for none.
auto eventPage(const EventLog& log, std::uint64_t after) -> boost::json::object;

}
