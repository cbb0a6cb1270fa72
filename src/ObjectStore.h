#pragma once

/// A store of versioned objects by kind and name, as the platform's adapter provides it. One revision
/// counter covers all objects, so that changes can be watched from a list on without a gap.

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
    /// Items whose name or revision can't be read; they are left out.
    std::size_t unreadable = 0;
    /// Changes after this revision are not in the list.
    std::int64_t revision = 0;
};

struct ItemChange {
    StoredItem item;
    bool isDeleted = false;
};

struct ItemChanges {
    std::vector<ItemChange> changes;
    /// Changes that can't be read; they are left out.
    std::size_t unreadable = 0;
    std::int64_t revision = 0;
};

/// How current a read must be.
enum class ReadMode {
    Current,
    /// May be some seconds old; costs the store less.
    MayBeStale,
};

class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// @return all objects of a kind.
    virtual auto list(HttpClient& client, std::string kind, ReadMode mode) -> boost::asio::awaitable<StoreResult<ItemList>> = 0;

    /// Waits for changes of a kind after a revision.
    /// @param wait longest time that the store holds the call.
    /// @return the changes, none where the wait ended without; HistoryGone where the store does not
    /// keep them any more.
    virtual auto watch(HttpClient& client, std::string kind, std::int64_t revision, Duration wait) -> boost::asio::awaitable<StoreResult<ItemChanges>> = 0;

    /// @return the object; revision 0 where it does not exist.
    virtual auto read(HttpClient& client, std::string kind, std::string name) -> boost::asio::awaitable<StoreResult<StoredObject>> = 0;

    /// Replaces an object if it still has the revision, or creates it.
    /// @param expectedRevision 0 where the object must not exist.
    virtual auto update(HttpClient& client, std::string kind, std::string name, boost::json::value value, std::int64_t expectedRevision) -> boost::asio::awaitable<StoreResult<UpdateOutcome>> = 0;

    /// @return how the calls so far have ended.
    virtual auto counts() const -> StoreCallCounts = 0;

    /// Creates or replaces an object, whatever its revision.
    /// @return the revision of the object.
    virtual auto put(HttpClient& client, std::string kind, std::string name, boost::json::value value) -> boost::asio::awaitable<StoreResult<std::int64_t>> = 0;
};

}
