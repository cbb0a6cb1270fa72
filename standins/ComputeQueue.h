#pragma once

/// The compute of a stand-in engine: prefills run one at a time, and among those that wait the
/// highest priority goes first, then the oldest.

#include "EngineRun.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace jayhold::standin {

class ComputeQueue {
public:
    /// Waits for the compute and uses it for a time.
    /// @return the time used, which is less than asked for where the run was cancelled.
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
