#include "StreamVersionList.h"

#include "StoreRevision.h"
#include "StreamRecordTable.h"

#include <string_view>
#include <utility>

namespace jayhold {

namespace {

constexpr std::string_view instancePrefix = "instance-";
constexpr std::string_view servicePrefix = "service-";

/// @param isEarlier whether the records are from an earlier history of the store.
auto addRecords(StreamVersionList& versions, const std::map<std::string, StreamRecord>& records, bool isEarlier) -> void
{
    for (const auto& [request, record] : records) {
        const auto [known, isNew] = versions.records.try_emplace(request, record);
        const auto differs = !isNew && (known->second.service != record.service || known->second.version != record.version);
        if (differs || (isEarlier && !record.hasBegun))
            versions.contradictory.insert(request);
    }
}

}

auto streamRecordsName(const std::string& instance) -> std::string
{
    return std::string(instancePrefix) + instance;
}

auto streamStateName(const std::string& service) -> std::string
{
    return std::string(servicePrefix) + service;
}

auto readStreamVersions(const ItemList& list) -> StreamVersionList
{
    StreamVersionList versions { .unreadable = list.unreadable, .revision = list.revision };
    for (const auto& item : list.items) {
        if (item.name.starts_with(servicePrefix)) {
            if (auto state = streamVersionStateFromJson(item.value))
                versions.states.emplace(item.name.substr(servicePrefix.size()), std::move(*state));
            else
                ++versions.unreadable;
            continue;
        }
        auto records = item.name.starts_with(instancePrefix) ? streamRecordsFromJson(item.value) : std::nullopt;
        if (records)
            addRecords(versions, *records, isFromEarlierHistory(item.value, historyOf(list.revision)));
        else
            ++versions.unreadable;
    }
    return versions;
}

}
