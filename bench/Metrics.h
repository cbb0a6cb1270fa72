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
    /// Prefill tokens whose result led to a token that the caller got.
    std::uint64_t usedPrefillTokens = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retried = 0;
    std::uint64_t refused = 0;
    /// Refused requests by reason.
    std::array<std::uint64_t, 8> refusedByReason {};
    std::uint64_t callerRepeats = 0;
    /// Messages between entry instances that the scheme of sharing takes: requests handed to an owner,
    /// or lease moves (two messages each).
    std::uint64_t sharingMessages = 0;
    /// Attempts that an engine turned away as busy.
    std::uint64_t prefillRefusals = 0;
    std::uint64_t decodeRefusals = 0;
    /// Decodes that found no prefill result, and results that were never fetched.
    std::uint64_t missingResults = 0;
    std::uint64_t expiredResults = 0;
    std::uint64_t preempted = 0;
    std::uint64_t engineCrashes = 0;
    /// Memory pieces that engines hold two seconds after the last event; must be 0.
    std::uint64_t heldMemoryBlocks = 0;
    /// Must be 0.
    std::uint64_t answeredTwice = 0;
    /// Requests that never got a final answer; must be 0.
    std::uint64_t unanswered = 0;
    /// Tokens out of their order; must be 0.
    std::uint64_t misplacedTokens = 0;

    /// Computed tokens of prefills that are not known to be used yet.
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
