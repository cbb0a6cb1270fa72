#pragma once

/// What came of one attempt to run a call on a backend server.

#include "HttpResponse.h"

#include <optional>
#include <string>

namespace jayhold {

struct PlainAttempt {
    /// The backend server's answer, or nothing.
    std::optional<HttpResponse> response;
    /// Whether the caller gets the answer even if another attempt is possible.
    bool isFinal = false;
    /// Whether the call certainly did not run.
    bool isNotRun = false;
    /// Whether the backend server got the call, be it that it turned it away.
    bool reachedBackend = true;
    /// Whether the time for the attempt ran out.
    bool hasTimedOut = false;
    /// For logs.
    std::string detail;
};

}
