#pragma once

/// The running attempts of a model request and the queue of its events; private to the implementation of
/// ModelRequest.

#include "ModelRequest.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace jayhold {

/// Interval at which the shard is asked again to replace a silent engine.
inline constexpr Duration silenceCheckInterval = std::chrono::milliseconds(250);

/// The call to an engine for one attempt.
struct ModelRequest::Task {
    std::uint64_t number = 0;
    /// The attempt as the engine knows it.
    Attempt attempt = 0;
    ReplicaId replica {};
    /// Id of the backend server, for the log.
    std::string backend = {};
    bool isPrefill = false;
    bool isRunning = false;
    /// When the task called its engine, and how many tokens the caller had then.
    TimePoint calledAt {};
    std::uint32_t tokensAtCall = 0;
    /// Whether the task waits for the store before it reads events; that is not the engine's silence.
    bool isWaitingForRecord = false;
    /// Whether the silence of the engine is logged.
    bool isSilenceLogged = false;
    /// Interrupts a task that waits for an engine to start its response.
    boost::asio::cancellation_signal interrupt {};
    /// The stream that the task relays; null until it is open.
    std::shared_ptr<HttpStream> stream = nullptr;
};

struct ModelRequest::Tasks {
    explicit Tasks(boost::asio::any_io_executor requestExecutor)
        : executor(std::move(requestExecutor))
        , wake(executor)
        , ended(executor)
        , silence(executor)
    {
    }

    boost::asio::any_io_executor executor;
    std::deque<RequestEvent> events;
    /// Cancelled when an event arrives.
    boost::asio::steady_timer wake;
    /// Number of the latest task.
    std::uint64_t lastTask = 0;
    /// The task of the current attempt; null if there is none. Results of other tasks than this one and the fallback are
    /// outdated and ignored.
    std::shared_ptr<Task> current;
    /// The task of the silent attempt that the current one has replaced. It is kept until the current one has brought a
    /// token, because its engine may have all that is missing.
    std::shared_ptr<Task> fallback;
    /// Number of tasks that have not ended.
    std::size_t running = 0;
    /// The replica that the current attempt calls.
    ReplicaId replica {};
    /// Cancelled when a task ends.
    boost::asio::steady_timer ended;
    /// Expires when the engine of the current task may have been silent for too long.
    boost::asio::steady_timer silence;
};

}
