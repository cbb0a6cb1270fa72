#pragma once

/// The at-most-once records of one partition in the form in which the platform stores them.

#include "StoredResponse.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jayhold {

enum class RecordState {
    /// The attempt may run the call. Its result is not known.
    Started,
    /// The call has run and its response is stored.
    Done,
};

struct RecordEntry {
    RecordState state = RecordState::Started;
    std::string requestDigest;
    std::string attemptId;
    /// The instance that runs the call, as `id/incarnation`.
    std::string holder;
    /// Wall clock time of the last change in milliseconds, used for retention and the started limit.
    std::int64_t changedAtMs = 0;
    StoredResponse response;

    auto operator==(const RecordEntry&) const -> bool = default;
};

struct RecordTable {
    /// Entries by digest of the idempotency key.
    std::map<std::string, RecordEntry> entries;
    /// Upper bound of the size as JSON, in bytes.
    std::size_t bytes = 0;
};

/// Adds or replaces an entry and updates the size.
auto putEntry(RecordTable& table, const std::string& key, RecordEntry entry) -> void;
auto removeEntry(RecordTable& table, const std::string& key) -> void;

/// @return an upper bound of the entry's size as JSON, in bytes.
auto entryBytes(std::string_view key, const RecordEntry& entry) -> std::size_t;

auto toJson(const RecordTable& table) -> boost::json::value;

/// @return the table, which is empty for null, or nothing if the document is not a record table.
auto recordTableFromJson(const boost::json::value& value) -> std::optional<RecordTable>;

/// A body that is not valid UTF-8 can't be a JSON string and is encoded in hexadecimal.
auto responseToJson(const StoredResponse& response) -> boost::json::value;
auto responseFromJson(const boost::json::value& value) -> std::optional<StoredResponse>;

}
