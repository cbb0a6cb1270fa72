#pragma once

/// The records of streams that began at one instance, with their software versions. They are written together as one
/// object of the store; several new ones share a write.

#include "StreamRecord.h"
#include "Time.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jayhold {

struct StreamRecordTable {
    struct Entry {
        StreamRecord record;
        TimePoint expiresAt {};
        /// Number of the change that added or corrected the record.
        std::uint64_t change = 0;
        /// Versions with which the record has been in the store or in a write to it, that of the last write at the end.
        std::vector<std::string> sentVersions {};
        /// Whether the store is known to contain the record with the version of the last write, and no other one.
        bool isConfirmed = false;
    };

    /// By streamRecordKey() of the caller's request.
    std::map<std::string, Entry> entries;
    /// Number of the last change.
    std::uint64_t lastChange = 0;
    /// The store contains the changes up to this one.
    std::uint64_t storedChange = 0;
    /// Revision of the stored object, 0 if there is none.
    std::int64_t revision = 0;
    /// Greatest known history of the store.
    std::int64_t history = 0;
};

/// Adds a record, or corrects the version of a known one.
/// @return the number of the change that has to be stored; that of the earlier one if nothing has changed.
auto addRecord(StreamRecordTable& table, const std::string& request, StreamRecord record, TimePoint expiresAt) -> std::uint64_t;

/// Records that the caller has an event of the stream.
auto markBegun(StreamRecordTable& table, const std::string& request) -> void;

/// @return the record of a request, or null.
auto findRecord(const StreamRecordTable& table, const std::string& request) -> const StreamRecord*;

/// @return whether the store contains a change.
auto isStored(const StreamRecordTable& table, std::uint64_t change) -> bool;

/// @return whether the store lacks a change.
auto needsWrite(const StreamRecordTable& table) -> bool;

/// @return whether the store may contain the record of a request with another version than the given one, as long as a
/// correction of the record is not known to be stored.
auto mayBeStoredOtherwise(const StreamRecordTable& table, const std::string& request, std::string_view version) -> bool;

/// Records that a write of all records is sent. It counts as possibly applied until confirmWrite().
/// @return the number of the last change that the write contains.
auto beginWrite(StreamRecordTable& table) -> std::uint64_t;

/// Records that the store contains the last write that was begun.
/// @param change the result of beginWrite().
/// @param revision revision of the written object.
auto confirmWrite(StreamRecordTable& table, std::uint64_t change, std::int64_t revision) -> void;

/// Records the object in the store. Unknown records of it, of an earlier run of the instance, are kept and have to be
/// written again with the next change.
auto mergeStored(StreamRecordTable& table, const std::map<std::string, StreamRecord>& stored, std::int64_t revision, TimePoint expiresAt) -> void;

/// Records that a restore of the store may have lost records.
auto loseStored(StreamRecordTable& table) -> void;

/// Removes records of streams that have ended. The store is told when the last one has.
auto removeExpired(StreamRecordTable& table, TimePoint now) -> void;

/// @return the value of the object in the store.
auto streamRecordsToJson(const StreamRecordTable& table) -> boost::json::value;

/// @return the records by id of the request, or nothing if the value is not a list of records.
auto streamRecordsFromJson(const boost::json::value& value) -> std::optional<std::map<std::string, StreamRecord>>;

/// @param value an object in the store.
/// @param history history of the store that contains it.
/// @return whether the object is from an earlier history, so that records of streams that had not begun may have been
/// corrected since. False for objects of earlier versions, which name no history.
auto isFromEarlierHistory(const boost::json::value& value, std::int64_t history) -> bool;

/// @return the records of an object without those that may have been corrected since, or nothing if the value is not a
/// list of records.
auto reliableStreamRecords(const boost::json::value& value, std::int64_t history) -> std::optional<std::map<std::string, StreamRecord>>;

}
