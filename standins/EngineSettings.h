#pragma once

/// Settings of a stand-in engine.

#include "HttpEndpoint.h"
#include "Time.h"

#include <cstdint>
#include <string>

namespace jayhold::standin {

struct EngineSettings {
    HttpEndpoint listen { "127.0.0.1", 0 };
    std::string id = "engine";
    std::string model = "model";
    /// "prefill" or "decode".
    std::string role = "decode";
    std::int64_t slots = 20;
    std::int64_t memoryBlocks = 64;
    std::int64_t memoryBlockTokens = 2'000;
    std::int64_t prefillTokensPerSecond = 20'000;
    /// Time between tokens of a stream that runs alone.
    std::int64_t tokenGapMicroseconds = 10'000;
    std::int64_t kvBytesPerToken = 131'072;
    std::int64_t linkBytesPerSecond = 1'000'000'000;
    /// Maximum bytes that one transfer actually sends; it still takes the time of its full size.
    std::int64_t kvTransferCapBytes = 1 << 20;
    /// Time to live of a prefill result; engines keep one for less than a second.
    std::int64_t resultTtlMilliseconds = 800;
    std::int64_t loadLagMilliseconds = 0;
    std::int64_t cacheEventLagMilliseconds = 0;
    std::int64_t cacheBlocks = 4'096;
    bool checksFencing = true;
};

}
