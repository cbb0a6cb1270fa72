#pragma once

/// An asynchronous delay for coroutines.

#include "Time.h"

#include <boost/asio/awaitable.hpp>

namespace jayhold {

/// Suspends the coroutine for the given time, on its own executor.
auto pause(Duration time) -> boost::asio::awaitable<void>;

}
