#include "Pause.h"

#include "AwaitToken.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace jayhold {

namespace asio = boost::asio;

auto pause(Duration time) -> asio::awaitable<void>
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(awaitInto(ignored));
}

}
