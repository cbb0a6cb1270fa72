#include "DirectoryUpdate.h"

#include "JsonFields.h"

#include <boost/json/serialize.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

auto printChange(const ItemChange& change) -> json::object
{
    json::object object { { "name", change.item.name }, { "revision", change.item.revision }, { "deleted", change.isDeleted } };
    if (!change.isDeleted)
        object["value"] = change.item.value;
    return object;
}

auto parseChange(const json::value& value) -> std::optional<ItemChange>
{
    const auto* object = value.if_object();
    ItemChange change;
    if (!object || !readText(*object, "name", change.item.name) || !readNumber(*object, "revision", change.item.revision) || !readBoolean(*object, "deleted", change.isDeleted))
        return std::nullopt;
    if (const auto* itemValue = object->if_contains("value"))
        change.item.value = *itemValue;
    return change;
}

auto parseChanges(const json::object& object) -> std::optional<KindChanges>
{
    KindChanges changes;
    const auto* list = arrayField(object, "changes");
    if (!list || !readText(object, "kind", changes.kind) || !readNumber(object, "after", changes.after) || !readNumber(object, "up_to", changes.upTo))
        return std::nullopt;
    for (const auto& element : *list) {
        auto change = parseChange(element);
        if (!change)
            return std::nullopt;
        changes.changes.push_back(std::move(*change));
    }
    return changes;
}

}

auto serializeDirectoryUpdate(const DirectoryUpdate& news) -> std::string
{
    json::object object { { "instance", news.instance }, { "watching", news.isWatching } };
    if (news.changes) {
        json::array list;
        for (const auto& change : news.changes->changes)
            list.push_back(printChange(change));
        object["kind"] = news.changes->kind;
        object["after"] = news.changes->after;
        object["up_to"] = news.changes->upTo;
        object["changes"] = std::move(list);
    }
    return json::serialize(object);
}

auto parseDirectoryUpdate(std::string_view text) -> std::optional<DirectoryUpdate>
{
    const auto object = parseObject(text);
    DirectoryUpdate news;
    if (!object || !readText(*object, "instance", news.instance) || !readBoolean(*object, "watching", news.isWatching))
        return std::nullopt;
    if (object->contains("changes")) {
        news.changes = parseChanges(*object);
        if (!news.changes)
            return std::nullopt;
    }
    return news;
}

}
