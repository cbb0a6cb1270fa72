#include "LoadMessage.h"

#include "JsonFields.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

constexpr std::size_t useFields = 4;

auto readCount(const json::value& value, std::uint32_t& count) -> bool
{
    boost::system::error_code code;
    count = value.to_number<std::uint32_t>(code);
    return !code;
}

auto readUse(const json::value& value) -> std::optional<BackendUsage>
{
    const auto* fields = value.if_array();
    if (!fields || fields->size() != useFields || !(*fields)[0].is_string())
        return std::nullopt;
    BackendUsage use;
    use.backend = (*fields)[0].get_string();
    if (!readCount((*fields)[1], use.slots) || !readCount((*fields)[2], use.memoryBlocks) || !readCount((*fields)[3], use.prefillTokens))
        return std::nullopt;
    return use;
}

}

auto serializeLoadMessage(const LoadMessage& message) -> std::string
{
    json::array uses;
    for (const auto& use : message.uses)
        uses.push_back(json::array { use.backend, use.slots, use.memoryBlocks, use.prefillTokens });
    json::object revisions;
    for (const auto& [kind, revision] : message.revisions)
        revisions[kind] = revision;
    json::object object {
        { "instance", message.instance },
        { "run", message.run },
        { "sequence", message.sequence },
        { "uses", std::move(uses) },
        { "changing", json::array(message.backendsChangingRole.begin(), message.backendsChangingRole.end()) },
        { "revisions", std::move(revisions) },
    };
    if (!message.signatures.empty())
        object["signatures"] = json::array(message.signatures.begin(), message.signatures.end());
    if (!message.suspects.empty()) {
        json::array suspects;
        for (const auto& suspect : message.suspects)
            suspects.push_back(toJson(suspect));
        object["suspects"] = std::move(suspects);
    }
    return json::serialize(object);
}

auto parseLoadMessage(std::string_view text) -> std::optional<LoadMessage>
{
    const auto object = parseObject(text);
    LoadMessage message;
    if (!object || !readText(*object, "instance", message.instance) || !readText(*object, "run", message.run) || !readNumber(*object, "sequence", message.sequence))
        return std::nullopt;
    const auto* uses = arrayField(*object, "uses");
    if (!uses)
        return std::nullopt;
    for (const auto& element : *uses) {
        auto use = readUse(element);
        if (!use)
            return std::nullopt;
        message.uses.push_back(std::move(*use));
    }
    const auto* backendsChangingRole = arrayField(*object, "changing");
    for (const auto& element : backendsChangingRole ? *backendsChangingRole : json::array()) {
        if (element.is_string())
            message.backendsChangingRole.emplace_back(element.get_string());
    }
    const auto* signatures = arrayField(*object, "signatures");
    for (const auto& element : signatures ? *signatures : json::array()) {
        boost::system::error_code code;
        const auto signature = element.to_number<std::uint64_t>(code);
        if (!code)
            message.signatures.push_back(signature);
    }
    const auto* suspects = arrayField(*object, "suspects");
    for (const auto& element : suspects ? *suspects : json::array()) {
        if (auto suspect = crashSuspectFromJson(element))
            message.suspects.push_back(std::move(*suspect));
    }
    const auto* revisions = objectField(*object, "revisions");
    for (const auto& field : revisions ? *revisions : json::object()) {
        std::int64_t revision = 0;
        if (readNumber(*revisions, field.key(), revision))
            message.revisions[field.key()] = revision;
    }
    return message;
}

}
