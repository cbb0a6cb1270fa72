#pragma once

/// Settings of a shard, taken from the configuration of its service.

#include "Identifiers.h"
#include "RequestKind.h"
#include "RetryPolicy.h"

#include <cstdint>
#include <vector>

namespace jayhold {

struct ShardSettings {
    /// Seeds the random spread of retry delays and the choice between equal replicas.
    std::uint64_t seed = 1;
    /// The zone of the instance; its replicas are preferred.
    ZoneId localZone {};
    /// From 0 (only goodput counts) to 1 (only wasted prefill counts).
    double wastedPrefillWeight = 0.5;
    std::vector<RequestKind> kinds;
    /// Weight and queue limit by customer.
    std::vector<double> customerWeights;
    std::vector<std::uint32_t> customerQueueLimits;
    /// KV cache bytes of one prompt token, for the share of a link that a transfer takes.
    std::uint64_t kvBytesPerToken = 131'072;
    /// Tokens in one block of the prefix cache.
    std::uint32_t prefixBlockTokens = 256;
    /// Part of the answers whose length the memory reserved for them covers.
    double memoryQuantile = 0.95;
    /// Whether decode replicas may prefill by themselves.
    bool decodeMayPrefill = false;
    /// Whether requests that miss their target while they wait are told to return later.
    bool refuseOverdue = false;
    /// Whether decode replicas are asked to keep a seat before a prefill begins.
    bool holdsSlots = false;
    RetryPolicy retry;
    /// Entry instances that place on the same replicas, this one included; scales how much of a
    /// lagging report's free seats this instance may take.
    std::uint32_t sharingInstances = 1;
};

}
