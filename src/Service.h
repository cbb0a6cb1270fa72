#pragma once

/// A service that callers use, with its pools and request kinds.

#include "Pool.h"
#include "RequestKind.h"
#include "RetryPolicy.h"
#include "ServiceType.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold {

struct Service {
    std::string name;
    ServiceType type = ServiceType::Model;
    /// Model that the engines run; empty for plain services.
    std::string model;
    /// From 0 (only goodput counts) to 1 (only wasted prefills count): the higher the weight, the more
    /// certain a free decode slot must be before a prefill starts.
    double wastedPrefillWeight = 0.5;
    /// Whether the engines reject orders with a stale fencing number.
    bool checksFencing = true;
    std::int64_t maxPromptTokens = 32'768;
    std::int64_t maxOutputTokens = 4'096;
    /// How long a prefill engine keeps its result.
    std::chrono::milliseconds prefillResultTtl { 1'000 };
    /// Number of tokens in one stream event, for services whose streams are forwarded unchanged.
    std::int64_t tokensPerEvent = 1;
    /// Time that an engine takes to change its role once its requests have ended; zero if engines can't
    /// change their role.
    std::chrono::milliseconds roleChangeTime { 0 };
    /// Maximum time for which a decode engine reserves a slot and memory for a request whose prefill has
    /// not ended; zero if engines don't support reservations.
    std::chrono::milliseconds slotReservationTime { 0 };
    /// Bytes of KV cache for one prompt token.
    std::int64_t kvBytesPerToken = 131'072;
    /// Quantile of the output length for which memory is reserved. The lengths of many outputs on one
    /// engine average out, and engines allocate memory as outputs grow, so the median is enough where a
    /// shortage only delays a request.
    double memoryQuantile = 0.95;
    /// Whether decode engines may run the prefill themselves if no prefill engine can do it in time.
    bool decodeMayPrefill = false;
    /// Whether a queued request that misses its first-token target is refused with a retry delay
    /// instead of waiting longer, as long as most of the time until its deadline remains.
    bool refuseOverdue = false;
    RetryPolicy retry;
    std::vector<Pool> pools;
    std::vector<RequestKind> kinds;

    auto operator==(const Service&) const -> bool = default;
};

}
