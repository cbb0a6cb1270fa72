#pragma once

/// One request on a stand-in engine, from its acceptance to the end of what it holds.

#include "Time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace jayhold::standin {

struct EngineRun {
    std::string requestId;
    std::string owner;
    std::int64_t memoryBlocks = 0;
    TimePoint startedAt;
    bool holdsMemoryBlocks = true;
    bool holdsSlot = true;
    bool isCancelled = false;
    /// Wakes whatever the run waits for at present, so that it sees isCancelled; may be empty.
    std::function<void()> interrupt;
};

}
