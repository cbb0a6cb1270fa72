#include "DirectoryUpdate.h"

#include "JsonFields.h"

#include <boost/json/serialize.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

auto serializeChange(const ItemChange& change) -> json::object
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

auto serializeDirectoryUpdate(const DirectoryUpdate& update) -> std::string
{
    json::object object { { "instance", update.instance }, { "watching", update.isWatching }, { "history", update.history } };
    if (update.changes) {
        json::array list;
        for (const auto& change : update.changes->changes)
            list.push_back(serializeChange(change));
        object["kind"] = update.changes->kind;
        object["after"] = update.changes->after;
        object["up_to"] = update.changes->upTo;
        object["changes"] = std::move(list);
    }
    return json::serialize(object);
}

auto parseDirectoryUpdate(std::string_view text) -> std::optional<DirectoryUpdate>
{
    const auto object = parseObject(text);
    DirectoryUpdate update;
    if (!object || !readName(*object, "instance", update.instance) || !readBoolean(*object, "watching", update.isWatching))
        return std::nullopt;
    readNumber(*object, "history", update.history);
    if (object->contains("changes")) {
        update.changes = parseChanges(*object);
        if (!update.changes)
            return std::nullopt;
    }
    return update;
}

}
