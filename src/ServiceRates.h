#pragma once

/// What a shard has learned about its engines.

#include "RatioEstimate.h"
#include "Time.h"

namespace jayhold {

struct ServiceRates {
    /// The initial rates are optimistic: a guess that is too low would refuse work that fits.
    RatioEstimate prefillTokensPerSecond { 50'000 };
    RatioEstimate tokensPerSecond { 40 };
    RatioEstimate transferBytesPerSecond { 50e9 };
    /// Time for which prefill results are kept.
    RatioEstimate resultTtlSeconds { 0.5 };
    /// Added to predictions of the first token so that 95% of them hold.
    Duration firstTokenMargin {};
};

}
