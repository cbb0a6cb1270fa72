#pragma once

/// By how much all instances together may exceed the quotas of customers.

#include "Time.h"

namespace jayhold {

struct QuotaLimits {
    /// Time over which the requests of a customer are counted; zero if the deployment names none.
    Duration window {};
    /// Fraction by which the requests in a window may exceed the quota.
    double over = 0;
    /// Amount in tokens by which they may exceed it in addition.
    double slack = 0;
};

}
