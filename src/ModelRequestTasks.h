#pragma once

/// The running attempt of a model request and the queue of its events; private to the implementation of
/// ModelRequest.

#include "ModelRequest.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace jayhold {

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
    /// Number of the latest task; a result of an earlier one is outdated and ignored.
    std::uint64_t lastTask = 0;
    bool isRunning = false;
    /// The replica that the running task calls.
    ReplicaId replica {};
    /// Cancelled when the running task ends.
    boost::asio::steady_timer ended;
    /// Expires when the engine of the running task may have been silent for too long.
    boost::asio::steady_timer silence;
    bool isPrefill = false;
    /// When the running task called its engine, and how many tokens the caller had then.
    TimePoint calledAt {};
    std::uint32_t tokensAtCall = 0;
    /// Whether the running task waits for the store before it reads events; that is not the engine's silence.
    bool isWaitingForRecord = false;
    /// Whether the silence of the running task is logged.
    bool isSilenceLogged = false;
    /// Interrupts a task that waits for an engine to start its response.
    boost::asio::cancellation_signal interrupt;
    /// The stream that the task relays; null until it is open.
    std::shared_ptr<HttpStream> stream;
};

}
