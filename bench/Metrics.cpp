#include "Metrics.h"

#include <numeric>

namespace jayhold::bench {

auto offered(const Metrics& metrics) -> std::uint64_t
{
    return std::accumulate(metrics.kinds.begin(), metrics.kinds.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const KindMetrics& kind) { return sum + kind.offered; });
}

auto good(const Metrics& metrics) -> std::uint64_t
{
    return std::accumulate(metrics.kinds.begin(), metrics.kinds.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const KindMetrics& kind) { return sum + kind.good; });
}

}
