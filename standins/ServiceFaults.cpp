#include "ServiceFaults.h"

namespace jayhold::standin {

auto readServiceFaults(JsonReader& reader, const ServiceFaults& present) -> boost::leaf::result<ServiceFaults>
{
    constexpr NumberRange range { 0, 1e9 };
    auto faults = present;
    BOOST_LEAF_ASSIGN(faults.crashBefore, reader.boolean("crash_before", present.crashBefore));
    BOOST_LEAF_ASSIGN(faults.crashAfter, reader.boolean("crash_after", present.crashAfter));
    BOOST_LEAF_ASSIGN(faults.leaving, reader.boolean("leaving", present.leaving));
    BOOST_LEAF_ASSIGN(faults.delayMilliseconds, reader.integer("delay_ms", range, present.delayMilliseconds));
    BOOST_LEAF_ASSIGN(faults.dropReplies, reader.integer("drop_replies", range, present.dropReplies));
    BOOST_LEAF_CHECK(reader.finish());
    return faults;
}

}
