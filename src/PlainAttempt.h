#pragma once

/// What came of one attempt to run a call on a backend server.

#include "ApiError.h"
#include "HttpResponse.h"

#include <optional>

namespace jayhold {

struct PlainAttempt {
    /// The backend server's answer, or nothing.
    std::optional<HttpResponse> answer;
    /// Whether the call certainly did not run.
    bool isNotRun = false;
    /// For logs.
    std::string detail;
};

}
