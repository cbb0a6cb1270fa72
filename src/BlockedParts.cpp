#include "BlockedParts.h"

#include "Hexadecimal.h"
#include "JsonFields.h"

#include <algorithm>

namespace jayhold {

namespace json = boost::json;

namespace {

/// Bounds the object. The oldest entries give way.
constexpr std::size_t maxParts = 256;

auto readListedPart(const json::value& value) -> std::optional<ListedPart>
{
    const auto* entry = value.if_object();
    std::string text;
    ListedPart listed;
    if (!entry || !readText(*entry, "part", text) || !readNumber(*entry, "trials", listed.trials))
        return std::nullopt;
    const auto part = parseHexadecimal(text);
    if (!part)
        return std::nullopt;
    // Lists of earlier versions lack the field.
    if (entry->contains("doubtful") && !readBoolean(*entry, "doubtful", listed.isDoubtful))
        return std::nullopt;
    listed.part = *part;
    return listed;
}

}

auto blockedPartsToJson(std::span<const ListedPart> parts) -> json::value
{
    json::array entries;
    for (const auto& part : parts) {
        // As in the log. JSON readers may not keep integers of 64 bits exactly.
        entries.push_back(json::object { { "part", toHexadecimal(part.part) }, { "trials", part.trials }, { "doubtful", part.isDoubtful } });
    }
    return json::object { { "parts", std::move(entries) } };
}

auto blockedPartsFromJson(const json::value& value) -> StoredBlockedParts
{
    StoredBlockedParts stored;
    if (value.is_null())
        return stored;
    const auto* object = value.if_object();
    const auto* entries = object ? arrayField(*object, "parts") : nullptr;
    if (!entries) {
        ++stored.unreadable;
        return stored;
    }
    for (const auto& element : *entries) {
        if (const auto listed = readListedPart(element))
            stored.parts.push_back(*listed);
        else
            ++stored.unreadable;
    }
    return stored;
}

auto changeBlockedParts(std::vector<ListedPart> parts, const UpdateBlockedPart& change) -> std::optional<std::vector<ListedPart>>
{
    const auto known = std::ranges::find(parts, change.part, &ListedPart::part);
    const auto isKnown = known != parts.end();
    switch (change.change) {
    case BlockedPartChange::Add:
        // Instances that have seen no answer of the part may have listed it without a doubt.
        if (isKnown && (known->isDoubtful || !change.isDoubtful))
            return std::nullopt;
        if (isKnown) {
            known->isDoubtful = true;
            break;
        }
        if (parts.size() >= maxParts)
            parts.erase(parts.begin());
        parts.push_back({ .part = change.part, .isDoubtful = change.isDoubtful });
        break;
    case BlockedPartChange::Remove:
        if (!isKnown)
            return std::nullopt;
        parts.erase(known);
        break;
    case BlockedPartChange::BeginTrial:
        if (!isKnown || known->trials != change.trials)
            return std::nullopt;
        ++known->trials;
        break;
    }
    return parts;
}

auto mergeBlockedParts(std::vector<ListedPart> parts, std::span<const ListedPart> others) -> std::vector<ListedPart>
{
    for (const auto& other : others) {
        const auto known = std::ranges::find(parts, other.part, &ListedPart::part);
        if (known != parts.end()) {
            known->trials = std::max(known->trials, other.trials);
            known->isDoubtful = known->isDoubtful || other.isDoubtful;
        } else if (parts.size() < maxParts) {
            parts.push_back(other);
        }
    }
    return parts;
}

}
