#pragma once

/// The properties of a request that the queue needs.

#include "FlowKey.h"
#include "Identifiers.h"
#include "LatencyClass.h"
#include "RequestRank.h"

#include <cstdint>
#include <optional>

namespace jayhold {

enum class SubQueue : std::uint8_t {
    /// Interrupted streams, whose callers have part of the answer, and requests that wait for crash
    /// reports.
    Resume,
    /// Fair queues of the latency classes.
    Fair,
    /// Requests that missed their first-token target.
    Overdue,
};

struct QueueEntry {
    RequestId request {};
    /// Time of arrival; requests of one flow are served in this order.
    std::uint64_t order = 0;
    FlowKey flow;
    RequestRank rank {};
    LatencyClass latencyClass = LatencyClass::Standard;
    SubQueue subQueue = SubQueue::Fair;
    /// Software version at which a request of the Resume sub-queue must run; nothing if any will do.
    std::optional<SoftwareVersionId> version {};
};

}
