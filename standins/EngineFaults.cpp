#include "EngineFaults.h"

namespace jayhold::standin {

auto readEngineFaults(JsonReader& reader, const EngineFaults& current) -> boost::leaf::result<EngineFaults>
{
    constexpr NumberRange range { 0, 1e9 };
    auto faults = current;
    BOOST_LEAF_ASSIGN(faults.stallTransfers, reader.boolean("stall_transfers", current.stallTransfers));
    BOOST_LEAF_ASSIGN(faults.frozen, reader.boolean("frozen", current.frozen));
    BOOST_LEAF_ASSIGN(faults.refuseAll, reader.boolean("refuse_all", current.refuseAll));
    BOOST_LEAF_ASSIGN(faults.crashOnMarker, reader.boolean("crash_on_marker", current.crashOnMarker));
    BOOST_LEAF_ASSIGN(faults.leaving, reader.boolean("leaving", current.leaving));
    BOOST_LEAF_ASSIGN(faults.delayMilliseconds, reader.integer("delay_ms", range, current.delayMilliseconds));
    BOOST_LEAF_ASSIGN(faults.dropAfterTokens, reader.integer("drop_after_tokens", range, current.dropAfterTokens));
    BOOST_LEAF_ASSIGN(faults.cacheEventGap, reader.integer("cache_event_gap", range, current.cacheEventGap));
    BOOST_LEAF_CHECK(reader.finish());
    return faults;
}

}
