#pragma once

/// Settings of a shard, taken from the configuration of its service.

#include "Identifiers.h"
#include "RequestKind.h"
#include "RequestRank.h"
#include "RetryPolicy.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace jayhold {

struct ShardSettings {
    /// Seeds the jitter of retry delays and the choice between replicas of equal load.
    std::uint64_t seed = 1;
    /// The zone of the instance. Replicas in it are preferred.
    ZoneId localZone {};
    /// From 0 (only goodput counts) to 1 (only wasted prefill counts).
    double wastedPrefillWeight = 0.5;
    std::vector<RequestKind> kinds;
    /// Weight and queue limit by customer.
    std::vector<double> customerWeights;
    std::vector<std::uint32_t> customerQueueLimits;
    /// Priority by customer, the default if it has none.
    std::vector<std::int64_t> customerPriorities;
    /// KV cache bytes of one prompt token, from which the link bytes of a transfer are computed.
    std::uint64_t kvBytesPerToken = 131'072;
    /// Tokens in one block of the prefix cache.
    std::uint32_t prefixBlockTokens = 256;
    /// Fraction of the answers that fit into the memory reserved for them.
    double memoryQuantile = 0.95;
    /// Whether decode replicas may prefill themselves.
    bool decodeMayPrefill = false;
    /// Whether requests that miss their target while they wait are refused with a retry delay.
    bool refuseOverdue = false;
    /// Whether decode replicas are asked to reserve a slot before a prefill begins.
    bool reservesSlots = false;
    RetryPolicy retry;
    /// Number of entry instances that place on the same replicas, this one included, or 0 if it is not
    /// known yet. It scales how many of the free slots in a lagging report this instance may take, and
    /// its part of a shared retry budget.
    std::uint32_t instanceCount = 0;
};

/// @return the number of instances to assume for placement: 1 if it is not known.
inline auto assumedInstances(const ShardSettings& settings) -> std::uint32_t
{
    return std::max(settings.instanceCount, 1U);
}

}
