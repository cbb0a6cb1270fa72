#pragma once

/// A pause in a coroutine.

#include "Time.h"

#include <boost/asio/awaitable.hpp>

namespace jayhold {

/// Waits on the coroutine's own executor.
auto pause(Duration time) -> boost::asio::awaitable<void>;

}
