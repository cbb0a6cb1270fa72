#include "RecordTable.h"

#include <boost/algorithm/hex.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jayhold {

namespace json = boost::json;

namespace {

/// Upper bound of the field names, quotes, separators and numbers of one entry.
constexpr std::size_t entryOverheadBytes = 160;

auto jsonTextBytes(std::string_view text) -> std::size_t
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr std::size_t escapedControlBytes = 6;
    std::size_t bytes = 0;
    for (const auto character : text) {
        if (static_cast<unsigned char>(character) < firstPrintable)
            bytes += escapedControlBytes;
        else
            bytes += character == '"' || character == '\\' || character == '/' ? 2 : 1;
    }
    return bytes;
}

auto isUtf8(std::string_view text) -> bool
{
    boost::system::error_code code;
    json::parse(json::serialize(json::string(text)), code);
    return !code;
}

auto readText(const json::object& object, std::string_view key, std::string& target) -> bool
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_string())
        return false;
    target = std::string(value->get_string());
    return true;
}

auto entryFromJson(const json::value& value) -> std::optional<RecordEntry>
{
    const auto* object = value.if_object();
    const auto* at = object ? object->if_contains("at_ms") : nullptr;
    RecordEntry entry;
    if (!at || !at->is_int64() || !readText(*object, "digest", entry.requestDigest))
        return std::nullopt;
    if (!readText(*object, "attempt", entry.attemptId) || !readText(*object, "holder", entry.holder))
        return std::nullopt;
    entry.changedAtMs = at->get_int64();
    const auto* response = object->if_contains("answer");
    if (!response)
        return entry;
    auto stored = responseFromJson(*response);
    if (!stored)
        return std::nullopt;
    entry.state = RecordState::Done;
    entry.response = std::move(*stored);
    return entry;
}

}

auto entryBytes(std::string_view key, const RecordEntry& entry) -> std::size_t
{
    // Hexadecimal encoding takes two bytes per byte, which bounds the size of any body that is not text.
    const auto body = std::max(jsonTextBytes(entry.response.body), entry.response.body.size() * 2);
    return entryOverheadBytes + jsonTextBytes(key) + jsonTextBytes(entry.requestDigest) + jsonTextBytes(entry.attemptId) + jsonTextBytes(entry.holder)
        + jsonTextBytes(entry.response.contentType) + body;
}

auto putEntry(RecordTable& table, const std::string& key, RecordEntry entry) -> void
{
    removeEntry(table, key);
    table.bytes += entryBytes(key, entry);
    table.entries.emplace(key, std::move(entry));
}

auto removeEntry(RecordTable& table, const std::string& key) -> void
{
    const auto found = table.entries.find(key);
    if (found == table.entries.end())
        return;
    table.bytes -= entryBytes(key, found->second);
    table.entries.erase(found);
}

auto responseToJson(const StoredResponse& response) -> json::value
{
    json::object object { { "status", response.status }, { "content_type", response.contentType } };
    if (isUtf8(response.body)) {
        object["body"] = response.body;
        return object;
    }
    std::string digits;
    boost::algorithm::hex_lower(response.body, std::back_inserter(digits));
    object["body_hex"] = digits;
    return object;
}

auto responseFromJson(const json::value& value) -> std::optional<StoredResponse>
{
    const auto* object = value.if_object();
    const auto* status = object ? object->if_contains("status") : nullptr;
    StoredResponse response;
    boost::system::error_code code;
    if (status)
        response.status = status->to_number<unsigned>(code);
    if (!status || code || !readText(*object, "content_type", response.contentType))
        return std::nullopt;
    if (readText(*object, "body", response.body))
        return response;
    std::string digits;
    if (!readText(*object, "body_hex", digits) || digits.size() % 2 != 0)
        return std::nullopt;
    if (digits.find_first_not_of("0123456789abcdef") != std::string::npos)
        return std::nullopt;
    boost::algorithm::unhex(digits, std::back_inserter(response.body));
    return response;
}

auto toJson(const RecordTable& table) -> json::value
{
    json::object records;
    for (const auto& [key, entry] : table.entries) {
        json::object item { { "digest", entry.requestDigest }, { "attempt", entry.attemptId }, { "holder", entry.holder }, { "at_ms", entry.changedAtMs } };
        if (entry.state == RecordState::Done)
            item["answer"] = responseToJson(entry.response);
        records[key] = std::move(item);
    }
    return json::object { { "records", std::move(records) } };
}

auto recordTableFromJson(const json::value& value) -> std::optional<RecordTable>
{
    RecordTable table;
    if (value.is_null())
        return table;
    const auto* object = value.if_object();
    const auto* records = object ? object->if_contains("records") : nullptr;
    if (!records || !records->is_object())
        return std::nullopt;
    for (const auto& item : records->get_object()) {
        auto entry = entryFromJson(item.value());
        if (!entry)
            return std::nullopt;
        putEntry(table, std::string(item.key()), std::move(*entry));
    }
    return table;
}

}
