#include "EngineFaults.h"

namespace jayhold::standin {

auto readEngineFaults(JsonReader& reader, const EngineFaults& present) -> boost::leaf::result<EngineFaults>
{
    constexpr NumberRange range { 0, 1e9 };
    auto faults = present;
    BOOST_LEAF_ASSIGN(faults.stallTransfers, reader.boolean("stall_transfers", present.stallTransfers));
    BOOST_LEAF_ASSIGN(faults.frozen, reader.boolean("frozen", present.frozen));
    BOOST_LEAF_ASSIGN(faults.refuseAll, reader.boolean("refuse_all", present.refuseAll));
    BOOST_LEAF_ASSIGN(faults.crashOnMarker, reader.boolean("crash_on_marker", present.crashOnMarker));
    BOOST_LEAF_ASSIGN(faults.leaving, reader.boolean("leaving", present.leaving));
    BOOST_LEAF_ASSIGN(faults.delayMilliseconds, reader.integer("delay_ms", range, present.delayMilliseconds));
    BOOST_LEAF_ASSIGN(faults.dropAfterTokens, reader.integer("drop_after_tokens", range, present.dropAfterTokens));
    BOOST_LEAF_ASSIGN(faults.cacheEventGap, reader.integer("cache_event_gap", range, present.cacheEventGap));
    BOOST_LEAF_CHECK(reader.finish());
    return faults;
}

}
