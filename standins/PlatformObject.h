#pragma once

/// One versioned object of the stand-in platform and the calls that watch it.

#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <set>

namespace jayhold::standin {

struct PlatformObject {
    /// Incremented by every write; 0 if the object does not exist.
    std::int64_t revision = 0;
    boost::json::value value;
    /// Timers of the watches that wait for the next revision.
    std::set<boost::asio::steady_timer*> watchTimers;
};

}
