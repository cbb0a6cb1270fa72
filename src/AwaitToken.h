#pragma once

/// The completion token of every awaited operation. It stores errors in an error code instead of
/// throwing an exception.

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jayhold {

/// @param code receives the outcome of the operation; it must outlive it.
inline auto awaitInto(boost::system::error_code& code) -> boost::asio::redirect_error_t<boost::asio::use_awaitable_t<>>
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, code);
}

}
