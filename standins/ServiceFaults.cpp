#include "ServiceFaults.h"

namespace jayhold::standin {

auto readServiceFaults(JsonReader& reader, const ServiceFaults& current) -> boost::leaf::result<ServiceFaults>
{
    constexpr NumberRange range { 0, 1e9 };
    auto faults = current;
    BOOST_LEAF_ASSIGN(faults.crashBefore, reader.boolean("crash_before", current.crashBefore));
    BOOST_LEAF_ASSIGN(faults.crashAfter, reader.boolean("crash_after", current.crashAfter));
    BOOST_LEAF_ASSIGN(faults.leaving, reader.boolean("leaving", current.leaving));
    BOOST_LEAF_ASSIGN(faults.delayMilliseconds, reader.integer("delay_ms", range, current.delayMilliseconds));
    BOOST_LEAF_ASSIGN(faults.dropReplies, reader.integer("drop_replies", range, current.dropReplies));
    BOOST_LEAF_CHECK(reader.finish());
    return faults;
}

}
