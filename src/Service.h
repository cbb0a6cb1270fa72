#pragma once

/// A service that callers use: its pools and its request kinds.

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
    /// From 0 (only goodput counts) to 1 (only wasted prefill counts): how sure of a decode seat a
    /// prefill must be before it starts.
    double wastedPrefillWeight = 0.5;
    /// Whether the engines refuse orders that carry an old fencing number.
    bool checksFencing = true;
    std::int64_t maxPromptTokens = 32'768;
    std::int64_t maxOutputTokens = 4'096;
    /// How long a prefill engine keeps its result.
    std::chrono::milliseconds prefillResultTtl { 1'000 };
    /// Tokens that one event of a stream carries, where the service's streams pass unchanged.
    std::int64_t tokensPerEvent = 1;
    /// How long an engine takes to change its role once its work has ended; zero where none can.
    std::chrono::milliseconds roleChangeTime { 0 };
    /// How long a decode engine may be asked to keep a seat and memory for a request whose prefill has
    /// not ended; zero where engines do not.
    std::chrono::milliseconds slotReservationTime { 0 };
    /// Bytes of KV cache for one prompt token.
    std::int64_t kvBytesPerToken = 131'072;
    /// Part of the answers whose length the memory reserved for them covers. The lengths of many
    /// answers on one engine even out, and engines take memory as answers grow, so the median is
    /// enough where a shortage only delays a request.
    double memoryQuantile = 0.95;
    /// Whether decode engines may prefill by themselves, where no prefill engine can do it in time.
    bool decodeMayPrefill = false;
    /// Whether a request that misses its target for the first token while it waits is refused with a
    /// time to return, instead of waiting on, as long as most of its time is left.
    bool refuseOverdue = false;
    RetryPolicy retry;
    std::vector<Pool> pools;
    std::vector<RequestKind> kinds;

    auto operator==(const Service&) const -> bool = default;
};

}
