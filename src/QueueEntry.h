#pragma once

/// What the queue needs to know of a request.

#include "FlowKey.h"
#include "Identifiers.h"
#include "LatencyClass.h"

#include <cstdint>

namespace jayhold {

enum class SubQueue : std::uint8_t {
    /// Streams that broke off; their callers already read.
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
    LatencyClass latencyClass = LatencyClass::Standard;
    SubQueue subQueue = SubQueue::Fair;
};

}
