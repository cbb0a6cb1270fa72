#pragma once

/// A finished prefill whose KV cache stays on its engine until a decode engine fetches it or it
/// expires.

#include "EngineRun.h"

#include <memory>

namespace jayhold::standin {

struct StoredPrefill {
    std::shared_ptr<EngineRun> run;
    /// Tokens that were computed, without those from the prefix cache.
    std::int64_t computedTokens = 0;
    std::int64_t kvBytes = 0;
    TimePoint expiresAt;
    /// Transfers in progress; they keep the result beyond its expiry.
    std::int64_t transfers = 0;
};

}
