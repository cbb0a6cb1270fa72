#pragma once

/// Why a backend server can't get a given request now.

#include <string_view>

namespace jayhold {

enum class PlacementObstacle {
    /// It is leaving or gone.
    NotLive,
    /// It has rejected work and gets none for a short time.
    Rejecting,
    /// It has failed repeatedly.
    Ejected,
    /// The peers' reports of its crash are awaited.
    CrashReports,
    /// It has asked for a pause, or has served no request since.
    Paused,
    /// A request that may crash it runs alone there.
    IsolatedSuspect,
    /// The limit of calls that it has named is reached.
    CallLimit,
    /// It was ejected, and the one request that tries it has not ended.
    Probe,
    /// It has no free slot.
    Slots,
    /// It has another software version than the stream, or its process is not known.
    Version,
    /// Its free memory does not suffice for the request and for what must stay free beside it.
    Memory,
    /// Its link is in use for longer than a transfer may wait.
    Link,
};

/// @return the stable name of an obstacle.
auto name(PlacementObstacle obstacle) -> std::string_view;

}
