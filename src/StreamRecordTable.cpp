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

auto confirmWrite(StreamRecordTable& table, std::uint64_t change, std::int64_t revision) -> void
{
    table.storedChange = std::max(table.storedChange, change);
    table.revision = revision;
}

auto mergeStored(StreamRecordTable& table, const std::map<std::string, StreamRecord>& stored, std::int64_t revision, TimePoint expiresAt) -> void
{
    table.revision = revision;
    for (const auto& [request, record] : stored) {
        const auto [entry, isNew] = table.entries.try_emplace(request);
        // Records are only complete together, so the next write contains this one as well.
        if (isNew)
            entry->second = { record, expiresAt, ++table.lastChange };
    }
}

auto loseStored(StreamRecordTable& table) -> void
{
    if (table.entries.empty())
        return;
    ++table.lastChange;
    table.storedChange = 0;
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
        streams.push_back(json::object { { "request", request }, { "service", entry.record.service }, { "version", entry.record.version }, { "begun", entry.record.begunAtMs } });
    return json::object { { "streams", std::move(streams) } };
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
        records.insert_or_assign(std::move(request), std::move(record));
    }
    return records;
}

}
