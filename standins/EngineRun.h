#pragma once

/// One request on a stand-in engine, from its acceptance until its memory blocks are released.

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
    /// Ends the current wait of the run, so that it checks isCancelled; may be empty.
    std::function<void()> interrupt;
};

}
