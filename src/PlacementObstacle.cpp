#include "PlacementObstacle.h"

namespace jayhold {

auto name(PlacementObstacle obstacle) -> std::string_view
{
    switch (obstacle) {
    case PlacementObstacle::NotLive:
        return "not_live";
    case PlacementObstacle::Rejecting:
        return "rejecting";
    case PlacementObstacle::Ejected:
        return "ejected";
    case PlacementObstacle::CrashReports:
        return "crash_reports";
    case PlacementObstacle::Paused:
        return "paused";
    case PlacementObstacle::IsolatedSuspect:
        return "isolated_suspect";
    case PlacementObstacle::CallLimit:
        return "call_limit";
    case PlacementObstacle::Probe:
        return "probe";
    case PlacementObstacle::Slots:
        return "slots";
    case PlacementObstacle::Version:
        return "software_version";
    case PlacementObstacle::Memory:
        return "memory";
    case PlacementObstacle::Link:
        return "link";
    }
    return "";
}

}
