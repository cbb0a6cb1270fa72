#pragma once

/// The result of one attempt to execute a call on a backend server.

#include "HttpResponse.h"
#include "Time.h"

#include <optional>
#include <string>

namespace jayhold {

struct PlainAttempt {
    /// The backend server's response, if there is one.
    std::optional<HttpResponse> response;
    /// Whether the response is forwarded to the caller even if another attempt is possible.
    bool isFinal = false;
    /// Whether the call was certainly not executed.
    bool isNotRun = false;
    /// Whether a server has rejected the call for lack of capacity.
    bool isRejected = false;
    /// Whether the backend server received the call, even if it rejected it.
    bool reachedBackend = true;
    /// Whether the call was not sent because it could not have ended before the instance exits.
    bool isRefusedByDrain = false;
    /// Whether the call was not sent because it crashes backend servers.
    bool isRefusedAsCrashing = false;
    /// Whether the backend server crashed while it had the call.
    bool hasCrashed = false;
    /// Whether the attempt exceeded its timeout.
    bool hasTimedOut = false;
    /// Expected time until a slot is free, if the call was not sent for lack of one.
    std::optional<Duration> slotWait {};
    /// For logs.
    std::string detail;
};

}
