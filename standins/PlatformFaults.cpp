#include "PlatformFaults.h"

namespace jayhold::standin {

namespace leaf = boost::leaf;

namespace {

auto readDown(JsonReader& reader, PlatformDown present) -> leaf::result<PlatformDown>
{
    if (!reader.has("down"))
        return present;
    if (!reader.isString("down")) {
        BOOST_LEAF_AUTO(isDown, reader.boolean("down", false));
        return isDown ? PlatformDown::Refusing : PlatformDown::No;
    }
    BOOST_LEAF_AUTO(text, reader.string("down"));
    if (text != "hang")
        return leaf::new_error(ConfigError { ConfigErrorCode::OutOfRange, reader.pathOf("down"), "expected true, false or \"hang\"" });
    return PlatformDown::Hanging;
}

}

auto readPlatformFaults(JsonReader& reader, const PlatformFaults& present) -> leaf::result<PlatformFaults>
{
    constexpr NumberRange range { 0, 1e9 };
    auto faults = present;
    BOOST_LEAF_ASSIGN(faults.down, readDown(reader, present.down));
    BOOST_LEAF_ASSIGN(faults.delayMilliseconds, reader.integer("delay_ms", range, present.delayMilliseconds));
    BOOST_LEAF_ASSIGN(faults.loseReplies, reader.integer("lose_replies", range, present.loseReplies));
    BOOST_LEAF_ASSIGN(faults.listLagMilliseconds, reader.integer("list_lag_ms", range, present.listLagMilliseconds));
    BOOST_LEAF_CHECK(reader.finish());
    return faults;
}

}
