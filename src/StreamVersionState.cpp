#include "StreamVersionState.h"

#include "JsonFields.h"

#include <tuple>

namespace jayhold {

namespace json = boost::json;

auto isNewer(const StreamVersionState& state, const StreamVersionState& other) -> bool
{
    return std::tie(state.history, state.epoch) > std::tie(other.history, other.epoch);
}

auto streamVersionStateToJson(const StreamVersionState& state) -> json::value
{
    json::object value { { "epoch", state.epoch }, { "closing", state.isClosing }, { "history", state.history } };
    if (state.defaultVersion)
        value["default"] = *state.defaultVersion;
    return value;
}

auto streamVersionStateFromJson(const json::value& value) -> std::optional<StreamVersionState>
{
    const auto* object = value.if_object();
    StreamVersionState state;
    if (!object || !readNumber(*object, "epoch", state.epoch) || state.epoch == 0 || !readBoolean(*object, "closing", state.isClosing) || !readNumber(*object, "history", state.history))
        return std::nullopt;
    if (object->contains("default") && !readText(*object, "default", state.defaultVersion.emplace()))
        return std::nullopt;
    return state;
}

}
