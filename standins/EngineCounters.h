#pragma once

/// Counters that a stand-in engine reports in `GET /admin/counts`.

#include <cstdint>
#include <map>
#include <string>

namespace jayhold::standin {

struct EngineCounters {
    std::int64_t prefills = 0;
    std::int64_t decodes = 0;
    std::int64_t finished = 0;
    std::int64_t cancelled = 0;
    std::int64_t refused = 0;
    std::int64_t orders = 0;
    std::int64_t tokensPrefilled = 0;
    /// Tokens computed by prefills that were cancelled, whose result no decode fetched, or whose decode
    /// ended before its first token.
    std::int64_t tokensNeverDecoded = 0;
    /// Decodes that emitted all their tokens, by request id.
    std::map<std::string, std::int64_t> completeRuns;
};

}
