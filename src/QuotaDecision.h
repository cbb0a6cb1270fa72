#pragma once

/// Whether a request is within its customer's quota, and the inputs of this decision.

#include "QuotaGrant.h"
#include "Time.h"

namespace jayhold {

struct QuotaDecision {
    bool isGranted = false;
    /// The customer, the amount and the instance that has decided; also set for refusals.
    QuotaGrant grant;
    /// Time after which the request can be granted, if it is refused.
    Duration retryAfter {};
    /// What the bucket held, and what had been promised to callers that were refused earlier.
    std::int64_t available = 0;
    std::int64_t promised = 0;
    /// Time since the last message of the instance that has decided; zero for this instance.
    Duration viewAge {};
};

}
