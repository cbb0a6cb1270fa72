#include "StreamRecordTable.h"

#include "JsonFields.h"

#include <algorithm>

namespace jayhold {

namespace json = boost::json;

auto addRecord(StreamRecordTable& table, const std::string& request, StreamRecord record, TimePoint expiresAt) -> std::uint64_t
{
    auto& entry = table.entries[request];
    entry.expiresAt = std::max(entry.expiresAt, expiresAt);
    if (entry.change > 0 && entry.record.service == record.service && entry.record.version == record.version)
        return entry.change;
    entry.record = std::move(record);
    entry.change = ++table.lastChange;
    return entry.change;
}

auto markBegun(StreamRecordTable& table, const std::string& request) -> void
{
    if (const auto found = table.entries.find(request); found != table.entries.end())
        found->second.record.hasBegun = true;
}

auto findRecord(const StreamRecordTable& table, const std::string& request) -> const StreamRecord*
{
    const auto found = table.entries.find(request);
    return found == table.entries.end() ? nullptr : &found->second.record;
}

auto isStored(const StreamRecordTable& table, std::uint64_t change) -> bool
{
    return change <= table.storedChange;
}

auto needsWrite(const StreamRecordTable& table) -> bool
{
    return table.lastChange > table.storedChange;
}

auto mayBeStoredOtherwise(const StreamRecordTable& table, const std::string& request, std::string_view version) -> bool
{
    const auto found = table.entries.find(request);
    if (found == table.entries.end())
        return false;
    const auto& sent = found->second.sentVersions;
    if (found->second.isConfirmed)
        return sent.back() != version;
    return std::ranges::any_of(sent, [&](const std::string& other) { return other != version; });
}

auto beginWrite(StreamRecordTable& table) -> std::uint64_t
{
    for (auto& [request, entry] : table.entries) {
        auto& sent = entry.sentVersions;
        const auto& version = entry.record.version;
        if (!sent.empty() && sent.back() == version)
            continue;
        std::erase(sent, version);
        sent.push_back(version);
        entry.isConfirmed = false;
    }
    return table.lastChange;
}

auto confirmWrite(StreamRecordTable& table, std::uint64_t change, std::int64_t revision) -> void
{
    table.storedChange = std::max(table.storedChange, change);
    table.revision = revision;
    for (auto& [request, entry] : table.entries)
        entry.isConfirmed = !entry.sentVersions.empty();
}

auto mergeStored(StreamRecordTable& table, const std::map<std::string, StreamRecord>& stored, std::int64_t revision, TimePoint expiresAt) -> void
{
    table.revision = revision;
    for (const auto& [request, record] : stored) {
        const auto [found, isNew] = table.entries.try_emplace(request);
        auto& entry = found->second;
        // Records are only complete together, so the next write contains this one as well.
        if (isNew)
            entry = { record, expiresAt, ++table.lastChange };
        if (std::ranges::find(entry.sentVersions, record.version) == entry.sentVersions.end())
            entry.sentVersions.insert(entry.sentVersions.begin(), record.version);
        entry.isConfirmed = false;
    }
}

auto loseStored(StreamRecordTable& table) -> void
{
    if (table.entries.empty())
        return;
    ++table.lastChange;
    table.storedChange = 0;
    // The older copy may contain each version with which a record was ever stored.
    for (auto& [request, entry] : table.entries)
        entry.isConfirmed = false;
}

auto removeExpired(StreamRecordTable& table, TimePoint now) -> void
{
    const auto removed = std::erase_if(table.entries, [&](const auto& entry) { return entry.second.expiresAt <= now; });
    // The next run of the instance would keep the records that the store still contains.
    if (removed > 0 && table.entries.empty())
        ++table.lastChange;
}

auto streamRecordsToJson(const StreamRecordTable& table) -> json::value
{
    json::array streams;
    for (const auto& [request, entry] : table.entries)
        streams.push_back(json::object { { "request", request }, { "service", entry.record.service }, { "version", entry.record.version }, { "begun", entry.record.begunAtMs }, { "has_begun", entry.record.hasBegun } });
    return json::object { { "history", table.history }, { "streams", std::move(streams) } };
}

auto streamRecordsFromJson(const json::value& value) -> std::optional<std::map<std::string, StreamRecord>>
{
    const auto* object = value.if_object();
    const auto* streams = object ? arrayField(*object, "streams") : nullptr;
    if (!streams)
        return std::nullopt;
    std::map<std::string, StreamRecord> records;
    for (const auto& element : *streams) {
        const auto* entry = element.if_object();
        std::string request;
        StreamRecord record;
        if (!entry || !readText(*entry, "request", request) || !readText(*entry, "service", record.service) || !readText(*entry, "version", record.version))
            return std::nullopt;
        readNumber(*entry, "begun", record.begunAtMs);
        readBoolean(*entry, "has_begun", record.hasBegun);
        records.insert_or_assign(std::move(request), std::move(record));
    }
    return records;
}

auto isFromEarlierHistory(const json::value& value, std::int64_t history) -> bool
{
    const auto* object = value.if_object();
    std::int64_t written = 0;
    return object && readNumber(*object, "history", written) && written > 0 && written < history;
}

auto reliableStreamRecords(const json::value& value, std::int64_t history) -> std::optional<std::map<std::string, StreamRecord>>
{
    auto records = streamRecordsFromJson(value);
    if (records && isFromEarlierHistory(value, history))
        std::erase_if(*records, [](const auto& entry) { return !entry.second.hasBegun; });
    return records;
}

}
