#pragma once

/// The attempt of a plain call on a second server while the first one is silent; private to the implementation of
/// PlainService.

#include "BackendServer.h"
#include "PlainAttempt.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace jayhold {

struct PlainReplacement {
    PlainReplacement(const boost::asio::any_io_executor& executor, BackendServer replacingServer)
        : server(std::move(replacingServer))
        , ended(executor)
    {
    }

    const BackendServer server;
    /// Interrupts the attempt.
    boost::asio::cancellation_signal interrupt;
    /// Cancelled when the attempt has ended.
    boost::asio::steady_timer ended;
    /// Set when the attempt has ended.
    std::optional<PlainAttempt> result;
};

}
