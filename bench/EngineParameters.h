#pragma once

/// Sizes and rates of the fake engines of one workload.

#include "Time.h"

#include <cstdint>

namespace jayhold::bench {

struct EngineParameters {
    /// Maximum number of prompts that a prefill engine accepts concurrently. It computes one chunk at a
    /// time.
    std::uint32_t prefillSlots = 4;
    double prefillTokensPerSecond = 10'000;
    /// Tokens computed before the engine checks for a more urgent prompt.
    std::uint32_t prefillChunkTokens = 512;
    Duration prefillResultTtl = std::chrono::milliseconds(800);
    std::uint32_t prefixBlockTokens = 256;
    std::uint32_t prefixCacheBlocks = 400;
    std::uint32_t decodeSlots = 20;
    /// Token gap = base + step * batch size: 34 ms at 20 requests.
    Duration tokenGapBase = std::chrono::milliseconds(18);
    Duration tokenGapPerRequest = Duration(800);
    std::uint32_t memoryBlocks = 64;
    std::uint32_t memoryBlockTokens = 2'000;
    /// Rate of the link out of one prefill engine.
    std::uint64_t linkBytesPerSecond = 3'000'000'000;
    std::uint64_t kvBytesPerToken = 131'072;
};

inline auto tokenGap(const EngineParameters& parameters, std::size_t batch) -> Duration
{
    return parameters.tokenGapBase + parameters.tokenGapPerRequest * static_cast<std::int64_t>(batch);
}

/// @return the maximum tokens per second of a decode engine, which it reaches with all slots in use.
inline auto decodeTokensPerSecond(const EngineParameters& parameters) -> double
{
    return parameters.decodeSlots * 1e6 / static_cast<double>(tokenGap(parameters, parameters.decodeSlots).count());
}

inline auto memoryBlocksFor(const EngineParameters& parameters, std::uint32_t tokens) -> std::uint32_t
{
    return (tokens + parameters.memoryBlockTokens - 1) / parameters.memoryBlockTokens;
}

}
