#include "GossipMessage.h"

#include "Rendezvous.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

// Every instance sends and receives six messages per second, so the encoding is compact: field names
// have one letter, an entry is an array of [id, incarnation, heartbeat, draining, configuration version,
// address, zone], and the sample is one flat array of alternating tags and heartbeats.
constexpr std::size_t entrySize = 7;

auto entryJson(const MemberEntry& entry) -> json::value
{
    const auto& member = entry.member;
    return json::array { member.id, member.incarnation, static_cast<std::int64_t>(entry.heartbeat), member.isDraining ? 1 : 0,
        member.configurationVersion, toString(member.peerEndpoint), member.availabilityZone };
}

auto isNonNegativeInteger(const json::value& value) -> bool
{
    return value.is_int64() && value.get_int64() >= 0;
}

auto readDetails(MemberEntry& entry, const json::array& items) -> bool
{
    if (!isNonNegativeInteger(items[4]) || !items[5].is_string() || !items[6].is_string())
        return false;
    const auto endpoint = parseHttpEndpoint(items[5].get_string());
    if (!endpoint)
        return false;
    entry.member.configurationVersion = items[4].get_int64();
    entry.member.peerEndpoint = *endpoint;
    entry.member.availabilityZone = std::string(items[6].get_string());
    return true;
}

auto readEntry(const json::value& value) -> std::optional<MemberEntry>
{
    const auto* items = value.if_array();
    if (!items || items->size() < entrySize)
        return std::nullopt;
    if (!(*items)[0].is_string() || !isNonNegativeInteger((*items)[1]) || !isNonNegativeInteger((*items)[2]) || !isNonNegativeInteger((*items)[3]))
        return std::nullopt;
    MemberEntry entry;
    entry.member.id = std::string((*items)[0].get_string());
    entry.member.incarnation = (*items)[1].get_int64();
    entry.heartbeat = static_cast<std::uint64_t>((*items)[2].get_int64());
    entry.member.isDraining = (*items)[3].get_int64() == 1;
    if (!readDetails(entry, *items))
        return std::nullopt;
    return entry;
}

auto readIntroductions(GossipMessage& message, const json::object& object) -> void
{
    const auto* introductions = object.if_contains("i");
    if (!introductions || !introductions->is_array())
        return;
    for (const auto& item : introductions->get_array()) {
        if (auto entry = readEntry(item))
            message.introductions.push_back(std::move(*entry));
    }
}

auto readHeartbeats(GossipMessage& message, const json::object& object) -> void
{
    const auto* heartbeats = object.if_contains("h");
    const auto* items = heartbeats ? heartbeats->if_array() : nullptr;
    if (!items)
        return;
    for (std::size_t index = 0; index + 1 < items->size(); index += 2) {
        const auto& tag = (*items)[index];
        const auto& heartbeat = (*items)[index + 1];
        if (isNonNegativeInteger(tag) && isNonNegativeInteger(heartbeat))
            message.heartbeats.push_back({ static_cast<std::uint32_t>(tag.get_int64()), static_cast<std::uint64_t>(heartbeat.get_int64()) });
    }
}

auto readRumors(GossipMessage& message, const json::object& object) -> void
{
    if (const auto* signatures = object.if_contains("g"); signatures && signatures->is_array()) {
        for (const auto& item : signatures->get_array()) {
            boost::system::error_code code;
            const auto signature = item.to_number<std::uint64_t>(code);
            if (!code)
                message.signatures.push_back(signature);
        }
    }
    if (const auto* suspects = object.if_contains("s"); suspects && suspects->is_array()) {
        for (const auto& item : suspects->get_array()) {
            if (auto suspect = crashSuspectFromJson(item))
                message.suspects.push_back(std::move(*suspect));
        }
    }
    if (const auto* reports = object.if_contains("p"); reports && reports->is_array()) {
        for (const auto& item : reports->get_array()) {
            if (auto report = promptReportFromJson(item))
                message.promptReports.push_back(std::move(*report));
        }
    }
    if (const auto* leaving = object.if_contains("b"); leaving && leaving->is_array()) {
        for (const auto& item : leaving->get_array()) {
            if (item.is_string())
                message.leaving.emplace_back(item.get_string());
        }
    }
}

}

auto tagOf(const Member& member) -> std::uint32_t
{
    constexpr std::uint64_t tagCount = 100'000'000;
    return static_cast<std::uint32_t>(stableHash(member.id + "/" + std::to_string(member.incarnation)) % tagCount);
}

auto toJson(const GossipMessage& message) -> json::value
{
    json::object object { { "o", entryJson(message.sender) }, { "l", message.listVersion } };
    if (!message.introductions.empty()) {
        json::array introductions;
        for (const auto& entry : message.introductions)
            introductions.push_back(entryJson(entry));
        object["i"] = std::move(introductions);
    }
    if (!message.heartbeats.empty()) {
        json::array heartbeats;
        for (const auto& entry : message.heartbeats) {
            heartbeats.emplace_back(static_cast<std::int64_t>(entry.tag));
            heartbeats.emplace_back(static_cast<std::int64_t>(entry.heartbeat));
        }
        object["h"] = std::move(heartbeats);
    }
    if (message.deadIncarnation)
        object["x"] = *message.deadIncarnation;
    if (message.requestsFullEntries)
        object["j"] = 1;
    if (!message.signatures.empty())
        object["g"] = json::array(message.signatures.begin(), message.signatures.end());
    if (!message.suspects.empty()) {
        json::array suspects;
        for (const auto& suspect : message.suspects)
            suspects.push_back(toJson(suspect));
        object["s"] = std::move(suspects);
    }
    if (!message.promptReports.empty()) {
        json::array reports;
        for (const auto& report : message.promptReports)
            reports.push_back(toJson(report));
        object["p"] = std::move(reports);
    }
    if (!message.leaving.empty())
        object["b"] = json::array(message.leaving.begin(), message.leaving.end());
    return object;
}

auto gossipMessageFromJson(const json::value& value) -> std::optional<GossipMessage>
{
    const auto* object = value.if_object();
    const auto* senderValue = object ? object->if_contains("o") : nullptr;
    auto sender = senderValue ? readEntry(*senderValue) : std::nullopt;
    if (!sender)
        return std::nullopt;
    GossipMessage message { .sender = std::move(*sender) };
    if (const auto* version = object->if_contains("l"); version && isNonNegativeInteger(*version))
        message.listVersion = version->get_int64();
    if (const auto* incarnation = object->if_contains("x"); incarnation && isNonNegativeInteger(*incarnation))
        message.deadIncarnation = incarnation->get_int64();
    message.requestsFullEntries = object->contains("j");
    readIntroductions(message, *object);
    readHeartbeats(message, *object);
    readRumors(message, *object);
    return message;
}

}
