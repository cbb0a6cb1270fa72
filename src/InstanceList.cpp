#include "InstanceList.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

auto text(const json::object& object, std::string_view key) -> std::string
{
    const auto* value = object.if_contains(key);
    const auto* string = value ? value->if_string() : nullptr;
    return string ? std::string(*string) : std::string();
}

auto addInstance(InstanceList& list, const json::object& item) -> void
{
    const auto endpoint = parseHttpEndpoint(text(item, "address"));
    auto id = text(item, "id");
    if (!endpoint || id.empty())
        return;
    auto zone = text(item, "availability_zone");
    auto pool = text(item, "pool");
    const auto isLeaving = text(item, "state") == "leaving";
    if (pool != entryPool) {
        const auto state = isLeaving ? ReplicaState::Leaving : ReplicaState::Live;
        list.backends.push_back({ .id = std::move(id), .endpoint = *endpoint, .availabilityZone = std::move(zone), .pool = std::move(pool), .state = state, .softwareVersion = text(item, "software_version") });
        return;
    }
    if (!isLeaving)
        list.entries.push_back({ .id = std::move(id), .peerEndpoint = *endpoint, .availabilityZone = std::move(zone) });
}

auto instanceJson(std::string_view id, const HttpEndpoint& endpoint, std::string_view zone, std::string_view pool, bool isLeaving) -> json::object
{
    return { { "id", id }, { "address", toString(endpoint) }, { "availability_zone", zone }, { "pool", pool },
        { "state", isLeaving ? "leaving" : "live" } };
}

}

auto instanceListFromJson(const json::value& value) -> std::optional<InstanceList>
{
    const auto* object = value.if_object();
    const auto* version = object ? object->if_contains("version") : nullptr;
    const auto* instances = object ? object->if_contains("instances") : nullptr;
    if (!version || !version->is_int64() || !instances || !instances->is_array())
        return std::nullopt;
    InstanceList list { .version = version->get_int64(), .entries = {}, .backends = {} };
    for (const auto& item : instances->get_array()) {
        if (const auto* instance = item.if_object())
            addInstance(list, *instance);
    }
    return list;
}

auto toJson(const InstanceList& list) -> json::value
{
    json::array instances;
    for (const auto& entry : list.entries)
        instances.push_back(instanceJson(entry.id, entry.peerEndpoint, entry.availabilityZone, entryPool, false));
    for (const auto& backend : list.backends) {
        auto instance = instanceJson(backend.id, backend.endpoint, backend.availabilityZone, backend.pool, backend.state != ReplicaState::Live);
        if (!backend.softwareVersion.empty())
            instance["software_version"] = backend.softwareVersion;
        instances.push_back(std::move(instance));
    }
    return json::object { { "version", list.version }, { "instances", std::move(instances) } };
}

}
