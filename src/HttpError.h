#pragma once

/// An error of an HTTP call. Its kind shows whether the request can have reached the server.
/// Boost.LEAF keeps error objects in thread-local storage, so results that cross a suspension
/// point of a coroutine carry this type in boost::system::result instead.

#include <boost/system/result.hpp>

#include <stdexcept>
#include <string>

namespace jayhold {

enum class HttpErrorKind {
    /// No connection could be opened; the request was not sent.
    NotConnected,
    /// The connection failed after sending began; the request may have run.
    ConnectionLost,
    /// No response within the timeout; the request may have run.
    TimedOut,
    /// The response was not valid HTTP, larger than allowed, or not identified as the response to the call; the
    /// request may have run.
    MalformedAnswer,
    /// The caller closed the stream or cancelled the call; the request may have run.
    Cancelled,
};

struct HttpError {
    HttpErrorKind kind;
    /// The system's message, for logs.
    std::string detail;
};

/// @return the stable name of a kind, for logs and metrics.
auto name(HttpErrorKind kind) -> std::string_view;

template <typename Value>
using HttpResult = boost::system::result<Value, HttpError>;

/// Called by boost::system::result when a value is taken from a failed result, which is a
/// programming error.
// NOLINTNEXTLINE(readability-identifier-naming): Boost.System looks the function up by this name.
[[noreturn]] inline auto throw_exception_from_error(const HttpError& error, const boost::source_location&) -> void
{
    throw std::logic_error("value taken from a failed HTTP result: " + error.detail);
}

}
