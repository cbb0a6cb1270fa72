#pragma once

/// Where and by which clock a LeaseManager keeps its lease.

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
    /// Reads the lease's object; revision 0 where it does not exist.
    std::function<boost::asio::awaitable<StoreResult<StoredObject>>()> read;
    /// Replaces the object if it still has the revision.
    std::function<boost::asio::awaitable<StoreResult<UpdateOutcome>>(boost::json::value, std::int64_t)> update;
    std::function<TimePoint()> now;
    std::function<bool()> isStopped;
    EventLog& log;
};

}
