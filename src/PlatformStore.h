#pragma once

/// The client of the platform's service: versioned objects with conditional updates and watches, and
/// the instance list. No other file depends on the protocol of this service. All members are
/// thread-safe; a call runs on the thread of the given client.

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

    /// @return the object; revision 0 if it does not exist.
    auto read(HttpClient& client, std::string name) -> boost::asio::awaitable<StoreResult<StoredObject>>;

    /// Waits until the object has a revision greater than the given one.
    /// @param wait maximum time for which the platform holds the call.
    /// @return the object, or nothing if the wait ended without a change.
    auto watch(HttpClient& client, std::string name, std::int64_t afterRevision, Duration wait) -> boost::asio::awaitable<StoreResult<std::optional<StoredObject>>>;

    /// Replaces the object if it still has the expected revision. The request may reach the platform
    /// twice. The second one then conflicts with the first and returns the caller's own value, which
    /// the caller recognises by the attempt id that it stores in the value.
    /// @param expectedRevision 0 if the object must not exist.
    auto update(HttpClient& client, std::string name, boost::json::value value, std::int64_t expectedRevision) -> boost::asio::awaitable<StoreResult<UpdateOutcome>>;

    auto instances(HttpClient& client) -> boost::asio::awaitable<StoreResult<InstanceList>>;

    /// @return the time until the next attempt; zero while the platform is not known to be unavailable.
    auto retryAfter() const -> Duration;

private:
    StoreConnection m_connection;
};

}
