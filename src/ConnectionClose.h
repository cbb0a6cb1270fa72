#pragma once

/// Why an HttpServer closed a connection of a caller, for metrics and logs.

#include "HttpRequest.h"

#include <string>
#include <string_view>

namespace jayhold {

enum class CloseReason {
    /// No request arrived within the idle timeout.
    IdleTimeout,
    /// The server is draining.
    Drain,
    /// The caller closed the connection, or the connection to it was lost.
    CallerClosed,
    /// The request asked for the connection to be closed after its response.
    CallerAskedForClose,
    /// The request was malformed, oversized or slow.
    RequestError,
    /// The response could not be sent.
    WriteFailed,
    /// The handler aborted the response or returned without completing one.
    Aborted,
    /// The handler threw an exception.
    Exception,
};

/// One closed connection.
struct ConnectionClose {
    CloseReason reason;
    /// The request that was read and got no complete response; null if there is none. Valid during the call
    /// of the observer.
    const HttpRequest* unansweredRequest = nullptr;
    /// Whether a part of the response to that request was sent.
    bool hasStarted = false;
    /// Text of the error or exception; may be empty.
    std::string detail;
};

/// @return the stable name of a reason, for logs and metrics.
auto name(CloseReason reason) -> std::string_view;

}
