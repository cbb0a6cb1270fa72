#pragma once

/// Schedules the prefills of a stand-in engine. They run one at a time; of those that wait, the one
/// with the highest priority runs next, and the oldest among equals.

#include "EngineRun.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace jayhold::standin {

class ComputeQueue {
public:
    /// Waits for exclusive use of the compute and holds it for the given time.
    /// @return the time used, which is shorter than requested if the run is cancelled.
    auto use(EngineRun& run, Duration time, std::int64_t priority) -> boost::asio::awaitable<Duration>;

    auto waiting() const -> std::size_t { return m_waiters.size(); }

private:
    struct Waiter {
        std::int64_t priority;
        boost::asio::steady_timer timer;
        bool isGranted = false;
    };
    class ComputeGuard;

    auto grantNext() -> void;

    bool m_isBusy = false;
    std::list<Waiter> m_waiters;
};

}
