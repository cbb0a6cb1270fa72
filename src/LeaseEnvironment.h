#pragma once

/// What a LeaseManager depends on: the store access for its lease, the clock and the log.

#include "EventLog.h"
#include "StoreError.h"
#include "StoredObject.h"
#include "Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>

namespace jayhold {

struct LeaseEnvironment {
    boost::asio::any_io_executor executor;
    /// Reads the lease's object. The revision is 0 if it does not exist.
    std::function<boost::asio::awaitable<StoreResult<StoredObject>>()> read;
    /// Replaces the object if it still has the given revision.
    std::function<boost::asio::awaitable<StoreResult<UpdateOutcome>>(boost::json::value, std::int64_t)> update;
    std::function<TimePoint()> now;
    std::function<bool()> isStopped;
    EventLog& log;
};

}
