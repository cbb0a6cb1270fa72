#include "LoggedEventJson.h"

namespace jayhold {

namespace json = boost::json;

namespace {

auto textOf(const json::object& object, std::string_view key) -> std::optional<std::string_view>
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string_view(value->get_string());
}

auto fieldsOf(const json::object& object) -> std::vector<LogField>
{
    std::vector<LogField> fields;
    const auto* value = object.if_contains("fields");
    if (!value || !value->is_object())
        return fields;
    for (const auto& member : value->get_object()) {
        if (member.value().is_string())
            fields.emplace_back(std::string_view(member.key()), std::string_view(member.value().get_string()));
    }
    return fields;
}

}

auto toJson(const LoggedEvent& event) -> json::object
{
    json::object fields;
    for (const auto& field : event.fields)
        fields[field.key] = field.value;
    return {
        { "sequence", event.sequence },
        { "time", toString(event.time) },
        { "instance", event.instance },
        { "event", event.event },
        { "fields", std::move(fields) },
    };
}

auto loggedEventFromJson(const json::value& value) -> std::optional<LoggedEvent>
{
    const auto* object = value.if_object();
    if (!object)
        return std::nullopt;
    const auto time = textOf(*object, "time");
    const auto instance = textOf(*object, "instance");
    const auto event = textOf(*object, "event");
    const auto* sequence = object->if_contains("sequence");
    if (!time || !instance || !event || !sequence || !sequence->is_number())
        return std::nullopt;
    const auto parsed = parseHybridTime(*time);
    if (!parsed)
        return std::nullopt;
    boost::system::error_code code;
    const auto number = sequence->to_number<std::uint64_t>(code);
    if (code)
        return std::nullopt;
    return LoggedEvent { number, *parsed, std::string(*instance), std::string(*event), fieldsOf(*object) };
}

}
