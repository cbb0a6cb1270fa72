#pragma once

/// The results of one run.

#include "Identifiers.h"
#include "KindMetrics.h"
#include "RefusalReason.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace jayhold::bench {

struct Metrics {
    std::vector<KindMetrics> kinds;
    std::uint64_t prefillTokens = 0;
    /// Prefill tokens whose result produced at least one token for the caller.
    std::uint64_t usedPrefillTokens = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retried = 0;
    std::uint64_t refused = 0;
    /// Refused requests by reason.
    std::array<std::uint64_t, 8> refusedByReason {};
    std::uint64_t callerRepeats = 0;
    /// Messages between entry instances that the sharing scheme requires: requests forwarded to an owner,
    /// or lease transfers (two messages each).
    std::uint64_t sharingMessages = 0;
    /// Attempts that an engine refused as busy.
    std::uint64_t prefillRefusals = 0;
    std::uint64_t decodeRefusals = 0;
    /// Decodes whose prefill result no longer existed, and results that expired without being fetched.
    std::uint64_t missingResults = 0;
    std::uint64_t expiredResults = 0;
    std::uint64_t preempted = 0;
    std::uint64_t engineCrashes = 0;
    /// Memory blocks that engines hold two seconds after the last event; must be 0.
    std::uint64_t heldMemoryBlocks = 0;
    /// Requests with more than one final response; must be 0.
    std::uint64_t answeredTwice = 0;
    /// Requests without a final response; must be 0.
    std::uint64_t unanswered = 0;
    /// Tokens received out of order; must be 0.
    std::uint64_t misplacedTokens = 0;

    /// Computed tokens of the prefills that have not produced a token for the caller.
    std::map<std::pair<RequestId, Attempt>, std::uint64_t> unusedPrefills;

    auto wastedShare() const -> double
    {
        return prefillTokens ? 1 - static_cast<double>(usedPrefillTokens) / static_cast<double>(prefillTokens) : 0;
    }
};

inline auto engineRefusals(const Metrics& metrics) -> std::uint64_t { return metrics.prefillRefusals + metrics.decodeRefusals; }
auto offered(const Metrics& metrics) -> std::uint64_t;
auto good(const Metrics& metrics) -> std::uint64_t;

}
