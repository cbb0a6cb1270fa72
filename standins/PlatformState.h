#pragma once

/// The whole state of the stand-in platform; used on one I/O thread.

#include "PlatformFaults.h"
#include "PlatformObject.h"
#include "PlatformSettings.h"
#include "Time.h"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <string>

namespace jayhold::standin {

struct PlatformState {
    explicit PlatformState(PlatformSettings platformSettings)
        : settings(std::move(platformSettings))
    {
    }

    const PlatformSettings settings;
    PlatformFaults faults;
    std::map<std::string, PlatformObject, std::less<>> objects;
    /// Instance lists with the time they were set, oldest first.
    std::deque<std::pair<TimePoint, boost::json::object>> instanceLists;
    std::int64_t instancesVersion = 0;
    /// Number of calls by type; a watch counts as one call however long it waits.
    std::map<std::string, std::int64_t> calls;
    std::int64_t pendingWatches = 0;
};

}
