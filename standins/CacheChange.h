#pragma once

/// One change of a prefix cache.

#include "Time.h"

#include <cstdint>
#include <vector>

namespace jayhold::standin {

struct CacheChange {
    std::uint64_t sequence = 0;
    TimePoint madeAt;
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> evicted;
};

}
