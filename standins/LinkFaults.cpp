#include "LinkFaults.h"

namespace jayhold::standin {

auto readLinkFaults(JsonReader& reader, const LinkFaults& present) -> boost::leaf::result<LinkFaults>
{
    constexpr NumberRange range { 0, 1e12 };
    auto faults = present;
    BOOST_LEAF_ASSIGN(faults.cut, reader.boolean("cut", present.cut));
    BOOST_LEAF_ASSIGN(faults.stall, reader.boolean("stall", present.stall));
    BOOST_LEAF_ASSIGN(faults.stallAnswers, reader.boolean("stall_answers", present.stallAnswers));
    BOOST_LEAF_ASSIGN(faults.reset, reader.boolean("reset", false));
    BOOST_LEAF_ASSIGN(faults.delayMicroseconds, reader.integer("delay_us", range, present.delayMicroseconds));
    BOOST_LEAF_ASSIGN(faults.bytesPerSecond, reader.integer("bytes_per_second", range, present.bytesPerSecond));
    BOOST_LEAF_CHECK(reader.finish());
    return faults;
}

}
