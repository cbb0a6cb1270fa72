#include "GossipMessage.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

// Every instance sends and receives six messages a second, so names are one letter and entries
// are arrays: [id, incarnation, heartbeat, draining, configuration version, address, zone], of
// which short entries have the first three or four.
constexpr std::size_t shortEntry = 3;
constexpr std::size_t drainingEntry = 4;
constexpr std::size_t fullEntry = 7;

auto entryJson(const MemberEntry& entry) -> json::value
{
    const auto& member = entry.member;
    json::array items { member.id, member.incarnation, entry.heartbeat };
    if (member.isDraining || entry.isFull)
        items.emplace_back(member.isDraining ? 1 : 0);
    if (entry.isFull) {
        items.emplace_back(member.configurationVersion);
        items.emplace_back(toString(member.peerEndpoint));
        items.emplace_back(member.availabilityZone);
    }
    return items;
}

auto isNumber(const json::value& value) -> bool
{
    return value.is_int64() && value.get_int64() >= 0;
}

auto readDetails(MemberEntry& entry, const json::array& items) -> bool
{
    if (!isNumber(items[4]) || !items[5].is_string() || !items[6].is_string())
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
    if (!items || items->size() < shortEntry)
        return std::nullopt;
    if (!(*items)[0].is_string() || !isNumber((*items)[1]) || !isNumber((*items)[2]))
        return std::nullopt;
    MemberEntry entry;
    entry.member.id = std::string((*items)[0].get_string());
    entry.member.incarnation = (*items)[1].get_int64();
    entry.heartbeat = static_cast<std::uint64_t>((*items)[2].get_int64());
    if (items->size() >= drainingEntry)
        entry.member.isDraining = isNumber((*items)[3]) && (*items)[3].get_int64() == 1;
    entry.isFull = items->size() >= fullEntry;
    if (entry.isFull && !readDetails(entry, *items))
        return std::nullopt;
    return entry;
}

auto readSample(GossipMessage& message, const json::object& object) -> void
{
    const auto* sample = object.if_contains("s");
    if (!sample || !sample->is_array())
        return;
    for (const auto& item : sample->get_array()) {
        if (auto entry = readEntry(item))
            message.sample.push_back(std::move(*entry));
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
    if (const auto* leaving = object.if_contains("b"); leaving && leaving->is_array()) {
        for (const auto& item : leaving->get_array()) {
            if (item.is_string())
                message.leaving.emplace_back(item.get_string());
        }
    }
}

}

auto toJson(const GossipMessage& message) -> json::value
{
    json::object object { { "o", entryJson(message.sender) }, { "l", message.listVersion } };
    if (!message.sample.empty()) {
        json::array sample;
        for (const auto& entry : message.sample)
            sample.push_back(entryJson(entry));
        object["s"] = std::move(sample);
    }
    if (message.disownedIncarnation)
        object["x"] = *message.disownedIncarnation;
    if (message.isJoining)
        object["j"] = 1;
    if (!message.signatures.empty())
        object["g"] = json::array(message.signatures.begin(), message.signatures.end());
    if (!message.leaving.empty())
        object["b"] = json::array(message.leaving.begin(), message.leaving.end());
    return object;
}

auto gossipMessageFromJson(const json::value& value) -> std::optional<GossipMessage>
{
    const auto* object = value.if_object();
    const auto* own = object ? object->if_contains("o") : nullptr;
    auto sender = own ? readEntry(*own) : std::nullopt;
    if (!sender || !sender->isFull)
        return std::nullopt;
    GossipMessage message { .sender = std::move(*sender) };
    if (const auto* version = object->if_contains("l"); version && isNumber(*version))
        message.listVersion = version->get_int64();
    if (const auto* disowned = object->if_contains("x"); disowned && isNumber(*disowned))
        message.disownedIncarnation = disowned->get_int64();
    message.isJoining = object->contains("j");
    readSample(message, *object);
    readRumors(message, *object);
    return message;
}

}
