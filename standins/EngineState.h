#pragma once

/// The whole state of a stand-in engine. A stand-in runs on one I/O thread, so its state needs no
/// lock. Coroutines share ownership of it, since some end only with their io_context.

#include "BandwidthLimiter.h"
#include "ComputeQueue.h"
#include "EngineCounters.h"
#include "EngineFaults.h"
#include "EngineMemory.h"
#include "EngineSettings.h"
#include "PrefixCache.h"
#include "StepLoop.h"
#include "StoredPrefill.h"

#include <boost/json/object.hpp>

#include <deque>
#include <map>

namespace jayhold::standin {

struct EngineState {
    explicit EngineState(EngineSettings engineSettings)
        : settings(std::move(engineSettings))
        , memory(settings.slots, settings.memoryBlocks)
        , cache(static_cast<std::size_t>(settings.cacheBlocks))
        , steps(Duration(settings.tokenGapMicroseconds), faults.frozen)
        , link(settings.linkBytesPerSecond)
    {
    }

    const EngineSettings settings;
    EngineFaults faults;
    EngineCounters counters;
    EngineMemory memory;
    PrefixCache cache;
    ComputeQueue compute;
    StepLoop steps;
    BandwidthLimiter link;
    std::map<std::string, StoredPrefill> results;
    std::uint64_t lastHandle = 0;
    std::int64_t highestFencingNumber = 0;
    std::uint64_t loadSequence = 0;
    /// Load reports with the time they were made, oldest first. They are kept for as long as reports
    /// lag.
    std::deque<std::pair<TimePoint, boost::json::object>> loadReports;
};

}
