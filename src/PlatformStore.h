#pragma once

/// The adapter to the platform's service: versioned objects with conditional updates and watches,
/// and the instance list. No other file knows the platform's protocol. All members are
/// thread-safe; a call runs on the thread of the client that it is given.

#include "ClusterSettings.h"
#include "HttpClient.h"
#include "InstanceList.h"
#include "StoreConnection.h"
#include "StoredObject.h"

#include <optional>

namespace jayhold {

class PlatformStore {
public:
    explicit PlatformStore(const ClusterSettings& settings);

    /// @return the object; revision 0 where it does not exist.
    auto read(HttpClient& client, std::string name) -> boost::asio::awaitable<StoreResult<StoredObject>>;

    /// Waits until the object has a revision greater than the given one.
    /// @param wait longest time that the platform holds the call.
    /// @return the object, or nothing when the wait ended without a change.
    auto watch(HttpClient& client, std::string name, std::int64_t afterRevision, Duration wait) -> boost::asio::awaitable<StoreResult<std::optional<StoredObject>>>;

    /// Replaces the object if it still has the expected revision. The call may reach the platform
    /// twice: then the second finds the revision of the first and reports a conflict whose value is
    /// the caller's own, which the caller recognises by the attempt id that it stores in the value.
    /// @param expectedRevision 0 where the object must not exist.
    auto update(HttpClient& client, std::string name, boost::json::value value, std::int64_t expectedRevision) -> boost::asio::awaitable<StoreResult<UpdateOutcome>>;

    auto instances(HttpClient& client) -> boost::asio::awaitable<StoreResult<InstanceList>>;

    /// @return the time until the platform is tried again; zero while it is not known to be away.
    auto retryAfter() const -> Duration;

private:
    StoreConnection m_connection;
};

}
