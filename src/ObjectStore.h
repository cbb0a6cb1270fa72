#pragma once

/// Interface to a store of versioned objects by kind and name, which the platform adapter implements. One
/// revision counter covers all objects, so a watch can continue from a list without missing changes. A store may
/// be restored from an older copy and then gives out its own numbers again; revisions here contain the history
/// (see StoreRevision.h), so those after a restore are greater than all before. What is in the store may be older
/// nevertheless.

#include "HttpClient.h"
#include "StoreCallCounts.h"
#include "StoreError.h"
#include "StoredObject.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jayhold {

struct StoredItem {
    std::string name;
    std::int64_t revision = 0;
    boost::json::value value;
};

struct ItemList {
    std::vector<StoredItem> items;
    /// Number of skipped items, of which the name, the revision or the value can't be read.
    std::size_t unreadable = 0;
    /// Names of the skipped items whose name can be read.
    std::vector<std::string> unreadableNames;
    /// Revision of the store up to which the list includes all changes.
    std::int64_t revision = 0;
};

struct ItemChange {
    StoredItem item;
    bool isDeleted = false;
};

struct ItemChanges {
    std::vector<ItemChange> changes;
    /// Number of skipped changes, which can't be read.
    std::size_t unreadable = 0;
    /// Names of the objects of the skipped changes, as far as they can be read.
    std::vector<std::string> unreadableNames;
    std::int64_t revision = 0;
};

/// Consistency of a read.
enum class ReadMode {
    Current,
    /// The result may be some seconds old, which costs the store less.
    MayBeStale,
};

class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// @return all objects of a kind, with revisions of one history; HistoryGone if the store was restored between
    /// two pages, so that the list has to be read again.
    virtual auto list(HttpClient& client, std::string kind, ReadMode mode) -> boost::asio::awaitable<StoreResult<ItemList>> = 0;

    /// Waits for changes of a kind after a revision.
    /// @param wait maximum time that the store holds the call.
    /// @return the changes, which are empty if the wait ended without any, or HistoryGone if the store
    /// no longer keeps the changes after the revision or was restored.
    virtual auto watch(HttpClient& client, std::string kind, std::int64_t revision, Duration wait) -> boost::asio::awaitable<StoreResult<ItemChanges>> = 0;

    /// @return the object, with revision 0 if it does not exist. Its history is set in both cases.
    virtual auto read(HttpClient& client, std::string kind, std::string name) -> boost::asio::awaitable<StoreResult<StoredObject>> = 0;

    /// Replaces an object if it still has the expected revision, or creates it. If the store was restored since the
    /// object was read, the outcome of an update that took effect is OutcomeUnknown.
    /// @param expectedRevision 0 if the object must not exist.
    virtual auto update(HttpClient& client, std::string kind, std::string name, boost::json::value value, std::int64_t expectedRevision) -> boost::asio::awaitable<StoreResult<UpdateOutcome>> = 0;

    /// @return the numbers of calls so far by result.
    virtual auto counts() const -> StoreCallCounts = 0;

    /// Creates or replaces an object regardless of its revision.
    /// @return the revision of the object.
    virtual auto put(HttpClient& client, std::string kind, std::string name, boost::json::value value) -> boost::asio::awaitable<StoreResult<std::int64_t>> = 0;
};

}
