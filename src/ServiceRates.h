#pragma once

/// Rates of the engines, as estimated by a shard.

#include "RatioEstimate.h"
#include "Time.h"

namespace jayhold {

struct ServiceRates {
    /// The initial rates are optimistic, because an estimate that is too low would refuse work that
    /// fits.
    RatioEstimate prefillTokensPerSecond { 50'000 };
    RatioEstimate tokensPerSecond { 40 };
    RatioEstimate transferBytesPerSecond { 50e9 };
    /// Time to live of prefill results.
    RatioEstimate resultTtlSeconds { 0.5 };
    /// Added to predictions of the first token so that 95% of them hold.
    Duration firstTokenMargin {};
};

}
