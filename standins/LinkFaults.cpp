#include "LinkFaults.h"

namespace jayhold::standin {

auto readLinkFaults(JsonReader& reader, const LinkFaults& current) -> boost::leaf::result<LinkFaults>
{
    constexpr NumberRange range { 0, 1e12 };
    auto faults = current;
    BOOST_LEAF_ASSIGN(faults.cut, reader.boolean("cut", current.cut));
    BOOST_LEAF_ASSIGN(faults.stall, reader.boolean("stall", current.stall));
    BOOST_LEAF_ASSIGN(faults.stallResponses, reader.boolean("stall_answers", current.stallResponses));
    BOOST_LEAF_ASSIGN(faults.reset, reader.boolean("reset", false));
    BOOST_LEAF_ASSIGN(faults.delayMicroseconds, reader.integer("delay_us", range, current.delayMicroseconds));
    BOOST_LEAF_ASSIGN(faults.bytesPerSecond, reader.integer("bytes_per_second", range, current.bytesPerSecond));
    BOOST_LEAF_CHECK(reader.finish());
    return faults;
}

}
