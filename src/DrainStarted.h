#pragma once

/// Event: the instance is shutting down, or the service was removed.

#include "Time.h"

namespace jayhold {

struct DrainStarted {
    /// When the instance ends the requests that are still open. Requests that can't be served by then are
    /// refused.
    TimePoint endsAt = TimePoint::max();
    /// Whether new requests, and those that wait for their first attempt, are refused at once. The others
    /// finish.
    bool refusesNewRequests = true;
};

}
