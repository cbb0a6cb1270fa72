#pragma once

/// Runs coroutines of the tests to completion on an I/O thread.

#include "HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

namespace jayhold {

/// Runs a coroutine on an I/O thread and waits for its result.
template <typename Result>
auto runOn(IoThreads& threads, std::size_t index, boost::asio::awaitable<Result> task) -> Result
{
    return boost::asio::co_spawn(threads.context(index), std::move(task), boost::asio::use_future).get();
}

}
