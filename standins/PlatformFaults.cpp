#include "PlatformFaults.h"

namespace jayhold::standin {

namespace leaf = boost::leaf;

namespace {

auto readOutage(JsonReader& reader, PlatformOutage current) -> leaf::result<PlatformOutage>
{
    if (!reader.has("down"))
        return current;
    if (!reader.isString("down")) {
        BOOST_LEAF_AUTO(isUnavailable, reader.boolean("down", false));
        return isUnavailable ? PlatformOutage::Refusing : PlatformOutage::None;
    }
    BOOST_LEAF_AUTO(text, reader.string("down"));
    if (text != "hang")
        return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, reader.pathOf("down"), "expected true, false or \"hang\"" });
    return PlatformOutage::Hanging;
}

}

auto readPlatformFaults(JsonReader& reader, const PlatformFaults& current) -> leaf::result<PlatformFaults>
{
    constexpr NumberRange range { 0, 1e9 };
    auto faults = current;
    BOOST_LEAF_ASSIGN(faults.outage, readOutage(reader, current.outage));
    BOOST_LEAF_ASSIGN(faults.delayMilliseconds, reader.integer("delay_ms", range, current.delayMilliseconds));
    BOOST_LEAF_ASSIGN(faults.loseReplies, reader.integer("lose_replies", range, current.loseReplies));
    BOOST_LEAF_ASSIGN(faults.listLagMilliseconds, reader.integer("list_lag_ms", range, current.listLagMilliseconds));
    BOOST_LEAF_CHECK(reader.finish());
    return faults;
}

}
